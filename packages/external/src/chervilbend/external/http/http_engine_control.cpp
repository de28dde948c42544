#include <chervilbend/external/http/http_engine_control.hpp>

#include <chervilbend/external/http/engine_command_json.hpp>
#include <chervilbend/external/http/engine_report_json.hpp>
#include <chervilbend/external/http/internal/json_fields.hpp>

#include <boost/json/serialize.hpp>

#include <string>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::external
{

namespace
{
constexpr int statusOk = 200;

bool isRefusal(int status)
{
    return status >= 400 && status < 500;
}
} // namespace

http_engine_control::http_engine_control(net::http_client &client, http_adapter_options options)
    : m_client(client, options)
{
}

asio::awaitable<command_status> http_engine_control::send(net::address engine, engine_command command)
{
    const std::string engineAddress = net::toString(engine);
    const std::optional<json_answer> answer = co_await m_client.post(std::move(engine), "/engine/commands", boost::json::serialize(toJson(command)));
    if (!answer) {
        fail(m_client.lastReason());
        co_return lastReason().kind == base::error_kind::endpointRefused ? command_status::notSent : command_status::unknown;
    }
    if (answer->status == statusOk) {
        co_return command_status::accepted;
    }
    const std::string detail = stringField(answer->body, "detail").value_or("status " + std::to_string(answer->status));
    fail(base::error_kind::endpointFailed, "engine " + engineAddress + ": " + detail);
    co_return isRefusal(answer->status) ? command_status::refused : command_status::unknown;
}

asio::awaitable<std::optional<engine_report>> http_engine_control::report(net::address engine)
{
    const std::string engineAddress = net::toString(engine);
    const std::optional<json_answer> answer = co_await m_client.get(std::move(engine), "/engine/report");
    if (!answer) {
        co_return fail(m_client.lastReason());
    }
    if (answer->status != statusOk) {
        co_return fail(base::error_kind::endpointFailed, "engine " + engineAddress + ": status " + std::to_string(answer->status));
    }
    std::optional<engine_report> report = engineReportFromJson(answer->body);
    if (!report) {
        co_return fail(base::error_kind::endpointInvalidAnswer, "engine " + engineAddress + ": the report is malformed");
    }
    co_return report;
}

} // namespace chervilbend::external
