#include <chervilbend/fakes/in_process_weight_store.hpp>

#include <utility>

namespace chervilbend::fakes
{

in_process_weight_store::in_process_weight_store(std::shared_ptr<weight_store_model> model)
    : m_model(std::move(model))
{
}

void in_process_weight_store::setReachable(bool reachable)
{
    m_reachable = reachable;
}

boost::asio::awaitable<std::optional<external::weight_store_status>> in_process_weight_store::status()
{
    if (!m_reachable) {
        co_return fail(base::error_kind::endpointFailed, "the weight store is unavailable");
    }
    co_return m_model->status();
}

} // namespace chervilbend::fakes
