#include <chervilbend/external/http/http_weight_store.hpp>

#include <chervilbend/external/http/weight_store_status_json.hpp>

#include <string>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::external
{

http_weight_store::http_weight_store(net::http_client &client, net::address address, http_adapter_options options)
    : m_client(client, options)
    , m_address(std::move(address))
{
}

asio::awaitable<std::optional<weight_store_status>> http_weight_store::status()
{
    constexpr int statusOk = 200;
    const std::optional<json_answer> answer = co_await m_client.get(m_address, "/status");
    if (!answer) {
        co_return fail(m_client.lastReason());
    }
    if (answer->status != statusOk) {
        co_return fail(base::error_kind::endpointFailed, "weight store: status " + std::to_string(answer->status));
    }
    const std::optional<weight_store_status> status = weightStoreStatusFromJson(answer->body);
    if (!status) {
        co_return fail(base::error_kind::endpointInvalidAnswer, "the weight store's status is malformed");
    }
    co_return status;
}

} // namespace chervilbend::external
