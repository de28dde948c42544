#include <chervilbend/external/http/http_log_service.hpp>

#include <chervilbend/external/http/internal/json_fields.hpp>
#include <chervilbend/external/http/log_page_json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::external
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// Services and intermediaries terminate longer requests.
constexpr base::milliseconds maxWait{30'000};

/// Whether the status means that the service did not append the record. Others, such as a gateway's 502 or 504, may follow a successful append.
bool isDefiniteRefusal(int status)
{
    return (status >= 400 && status < 500) || status == statusUnavailable;
}

} // namespace

http_log_service::http_log_service(net::http_client &client, net::address address, const std::string &stream, http_adapter_options options)
    : m_client(client, options)
    , m_address(std::move(address))
    , m_target("/streams/" + stream + "/records")
{
}

asio::awaitable<append_result> http_log_service::append(std::string payload)
{
    append_result result;
    const std::optional<json_answer> answer = co_await m_client.post(m_address, m_target, std::move(payload));
    if (!answer) {
        const base::reason &reason = m_client.lastReason();
        if (reason.kind == base::error_kind::endpointRefused) {
            result.status = append_status::refused;
        }
        fail(base::error_kind::logUnavailable, "append: " + reason.text);
        co_return result;
    }
    if (answer->status != statusOk) {
        if (isDefiniteRefusal(answer->status)) {
            result.status = append_status::refused;
        }
        fail(base::error_kind::logUnavailable, "append: status " + std::to_string(answer->status));
        co_return result;
    }
    const auto offset = integerField(answer->body, "offset", 1, std::numeric_limits<std::int64_t>::max());
    if (!offset) {
        fail(base::error_kind::endpointInvalidAnswer, "append: the answer has no valid offset");
        co_return result;
    }
    result.status = append_status::accepted;
    result.offset = base::log_offset(*offset);
    co_return result;
}

asio::awaitable<std::optional<log_page>> http_log_service::read(base::log_offset after, base::milliseconds wait)
{
    const base::milliseconds boundedWait = std::clamp(wait, base::milliseconds(0), maxWait);
    const std::string target = m_target + "?after=" + std::to_string(after.count()) + "&waitMs=" + std::to_string(boundedWait.count());
    const std::optional<json_answer> answer = co_await m_client.get(m_address, target, boundedWait);
    if (!answer) {
        co_return fail(base::error_kind::logUnavailable, "read: " + m_client.lastReason().text);
    }
    if (answer->status != statusOk) {
        co_return fail(base::error_kind::logUnavailable, "read: status " + std::to_string(answer->status));
    }
    std::optional<log_page> page = logPageFromJson(answer->body, after);
    if (!page) {
        co_return fail(base::error_kind::endpointInvalidAnswer, "read: the answer is not a valid page of records");
    }
    co_return page;
}

} // namespace chervilbend::external
