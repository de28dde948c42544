#include <chervilbend/load/sender.hpp>

#include <chervilbend/net/http_client_stream.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::load
{

namespace
{

/// Uses a new connection for each request, so that a connection that the node closed while idle is not counted as an aborted request.
net::http_send_options optionsFor(base::milliseconds timeout)
{
    net::http_send_options options;
    options.answerTimeout = timeout;
    options.deadline = base::clock::now() + timeout;
    options.freshConnection = true;
    return options;
}

std::string headerField(const http::response_header<> &header, const char *name)
{
    const auto field = header[name];
    return {field.data(), field.size()};
}

json::value parsed(const std::string &text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    return error ? json::value() : value;
}

std::string textAt(const json::value &value, const char *pointer)
{
    json::error_code error;
    const json::value *const found = value.find_pointer(pointer, error);
    return found && found->is_string() ? std::string(found->get_string().data(), found->get_string().size()) : std::string();
}

/// Returns the concatenated text of all events of a stream. Sets @p isDone at the end marker and @p hasError at an error event.
std::string streamText(const std::string &body, bool &isDone, bool &hasError)
{
    std::string text;
    for (std::size_t start = 0; start < body.size();) {
        const std::size_t end = std::min(body.find('\n', start), body.size());
        const std::string line = body.substr(start, end - start);
        start = end + 1;
        if (line == "data: [DONE]") {
            isDone = true;
        } else if (line == "event: error") {
            hasError = true;
        } else if (line.starts_with("data: ")) {
            text += textAt(parsed(line.substr(6)), "/choices/0/delta/content");
        }
    }
    return text;
}

void recordHeader(const http::response_header<> &header, attempt &entry)
{
    entry.status = static_cast<int>(header.result_int());
    entry.runState = headerField(header, "X-Run-State");
    entry.retryAfter = !headerField(header, "Retry-After").empty();
    entry.failureReported = headerField(header, "Content-Type") == "application/problem+json";
}

void recordFailure(const net::http_client &client, attempt &entry)
{
    entry.connectionRefused = client.lastReason().kind == base::error_kind::endpointRefused;
    entry.timedOut = client.hasTimedOut();
    entry.detail = client.lastReason().text;
}

void recordDetail(const std::string &body, attempt &entry)
{
    if (entry.status != 200) {
        entry.detail = textAt(parsed(body), "/detail");
    }
}

} // namespace

asio::awaitable<attempt>
    sender::sendCompletion(attempt entry, net::address node, std::string body, std::string expected, bool isStream, base::milliseconds timeout)
{
    net::http_request request(http::verb::post, "/v1/chat/completions", 11);
    request.set(http::field::content_type, "application/json");
    request.set("X-Account", entry.kind);
    request.set("X-Priority", entry.kind == "chat" ? "normal" : entry.kind);
    request.set("X-Deadline-Ms", std::to_string(timeout.count()));
    request.body() = std::move(body);
    entry.sentMs = base::clock::wallNow().count();
    const net::http_send_options options = optionsFor(timeout);
    const std::shared_ptr<net::http_client_stream> response = co_await m_client.open(node, std::move(request), options);
    if (!response) {
        recordFailure(m_client, entry);
        entry.endMs = base::clock::wallNow().count();
        co_return entry;
    }
    recordHeader(response->header(), entry);
    std::string received;
    bool ended = false;
    while (!ended) {
        const std::optional<std::string_view> chunk = co_await response->read();
        if (!chunk) {
            entry.timedOut = response->hasTimedOut();
            entry.detail = response->lastReason().text;
            break;
        }
        ended = chunk->empty();
        received.append(*chunk);
    }
    entry.endMs = base::clock::wallNow().count();
    if (entry.status == 200 && isStream) {
        bool isDone = false;
        bool hasError = false;
        const std::string text = streamText(received, isDone, hasError);
        entry.isComplete = ended && isDone && !hasError;
        entry.failureReported = hasError;
        entry.matchesRequest = text == expected;
    } else if (entry.status == 200) {
        entry.isComplete = ended;
        entry.matchesRequest = textAt(parsed(received), "/choices/0/message/content") == expected;
    } else if (ended) {
        recordDetail(received, entry);
    }
    co_return entry;
}

asio::awaitable<attempt> sender::sendOrder(attempt entry, net::address node, std::string path, bool marksFirstAttempt, base::milliseconds timeout)
{
    net::http_request request(http::verb::post, path, 11);
    request.set(http::field::content_type, "application/json");
    request.set("Idempotency-Key", entry.subject);
    request.set("X-Account", entry.kind);
    if (marksFirstAttempt) {
        request.set("Idempotency-Attempt", "1");
    }
    request.body() = R"({"plate":")" + entry.subject + "\"}";
    entry.sentMs = base::clock::wallNow().count();
    const net::http_send_options options = optionsFor(timeout);
    const std::optional<net::http_response> response = co_await m_client.send(node, std::move(request), options);
    entry.endMs = base::clock::wallNow().count();
    if (!response) {
        recordFailure(m_client, entry);
        co_return entry;
    }
    recordHeader(response->base(), entry);
    entry.isComplete = entry.status == 200;
    entry.matchesRequest = entry.isComplete && textAt(parsed(response->body()), "/key") == entry.subject;
    recordDetail(response->body(), entry);
    co_return entry;
}

} // namespace chervilbend::load
