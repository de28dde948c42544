#include <chervilbend/fakes/in_process_host_list.hpp>

#include <utility>

namespace chervilbend::fakes
{

in_process_host_list::in_process_host_list(std::shared_ptr<host_directory> directory)
    : m_directory(std::move(directory))
{
}

void in_process_host_list::setReachable(bool reachable)
{
    m_reachable = reachable;
}

boost::asio::awaitable<std::optional<std::vector<external::host_entry>>> in_process_host_list::fetch()
{
    if (!m_reachable) {
        co_return fail(base::error_kind::endpointFailed, "the host list is unavailable");
    }
    co_return m_directory->delayedHosts();
}

} // namespace chervilbend::fakes
