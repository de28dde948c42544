#include <chervilbend/external/http/internal/json_client.hpp>

#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_client_stream.hpp>

#include <boost/json/parse.hpp>

#include <string_view>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::external
{

namespace
{
/// The wire format has at most five levels of nesting.
constexpr std::size_t maxDepth = 16;
} // namespace

json_client::json_client(net::http_client &client, http_adapter_options options)
    : m_client(client)
    , m_options(options)
{
}

asio::awaitable<std::optional<json_answer>> json_client::get(net::address address, std::string target, base::milliseconds wait)
{
    net::http_request request(http::verb::get, target, 11);
    co_return co_await exchange(std::move(address), std::move(request), wait, false);
}

asio::awaitable<std::optional<json_answer>> json_client::post(net::address address, std::string target, std::string body)
{
    net::http_request request(http::verb::post, target, 11);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    co_return co_await exchange(std::move(address), std::move(request), base::milliseconds(0), true);
}

asio::awaitable<std::optional<json_answer>>
    json_client::exchange(net::address address, net::http_request request, base::milliseconds wait, bool freshConnection)
{
    net::http_send_options options;
    options.connectTimeout = m_options.connectTimeout;
    options.boundByProgress(m_options.answerTimeout, wait);
    options.freshConnection = freshConnection;
    const std::shared_ptr<net::http_client_stream> answer = co_await m_client.open(std::move(address), std::move(request), options);
    if (!answer) {
        co_return fail(m_client.lastReason());
    }
    if (answer->header().result() != http::status::ok) {
        // The service may write a refusal once more.
        answer->closeAfterAnswer();
    }
    std::string body;
    while (true) {
        const std::optional<std::string_view> part = co_await answer->read();
        if (!part) {
            co_return fail(answer->lastReason());
        }
        if (part->empty()) {
            break;
        }
        if (body.size() + part->size() > m_options.maxAnswerBytes) {
            co_return fail(base::error_kind::endpointInvalidAnswer, "the answer is longer than " + std::to_string(m_options.maxAnswerBytes) + " bytes");
        }
        body.append(*part);
    }
    if (!answer->isSelfDelimiting()) {
        co_return fail(base::error_kind::endpointInvalidAnswer, "the answer has neither a length nor chunked encoding");
    }
    co_return parse(static_cast<int>(answer->header().result_int()), body);
}

std::optional<json_answer> json_client::parse(int status, const std::string &body)
{
    json::parse_options options;
    options.max_depth = maxDepth;
    json::error_code error;
    json::value parsed = json::parse(body, error, {}, options);
    if (!error && parsed.is_object()) {
        return json_answer{status, std::move(parsed.get_object())};
    }
    if (status != static_cast<int>(http::status::ok)) {
        return json_answer{status, {}};
    }
    return fail(base::error_kind::endpointInvalidAnswer, error ? "the answer is not JSON: " + error.message() : "the answer is not a JSON object");
}

} // namespace chervilbend::external
