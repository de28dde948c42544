#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/admitted_request.hpp>
#include <chervilbend/node/callers/caller_terms.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/event_scanner.hpp>
#include <chervilbend/node/callers/message_headers.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

using routing::request_outcome;

/// A whole answer that is longer than this is passed on as a stream, so that it need not fit into the node's memory.
constexpr std::size_t longestWholeAnswer = 4 * 1024 * 1024;

const log4cxx::LoggerPtr &routeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("route");
    return logger;
}

bool isEventStream(const http::response_header<> &header)
{
    const auto type = header[http::field::content_type];
    return std::string_view(type.data(), type.size()).starts_with("text/event-stream");
}

/// Whether the endpoint turned the request away unrun because it has too much to do. Plain services also use 429 for their own limits per
/// account, which another instance would answer alike.
bool isOverloadAnswer(const http::response_header<> &header, bool inference)
{
    return header.result() == http::status::service_unavailable || (inference && header.result() == http::status::too_many_requests);
}

asio::awaitable<bool> startStream(std::shared_ptr<net::http_exchange> exchange, std::shared_ptr<net::http_client_stream> answer)
{
    http::response<http::empty_body> header(answer->header().result(), 11);
    copyAnswerFields(answer->header(), header);
    header.set(runStateField, "ran");
    co_return co_await exchange->startStream(std::move(header));
}

asio::awaitable<bool> isCancelled()
{
    const asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
    co_return state.cancelled() != asio::cancellation_type::none;
}

} // namespace

forwarder::forwarder(admission &gate, endpoint_directory &endpoints, net::http_client &client)
    : m_admission(gate)
    , m_endpoints(endpoints)
    , m_client(client)
{
}

asio::awaitable<void> forwarder::forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    admitted_request work(m_admission);
    std::optional<routing::dispatch> where = co_await work.submit(plan.facts);
    bool mayHaveRun = false;
    base::reason why;
    while (where) {
        LOG4CXX_INFO(routeLog(),
                     plan.facts.pool << " to " << where->endpoint << ", class " << toString(plan.facts.urgency) << ", account " << plan.facts.account << ": "
                                     << where->why);
        attempt_result result = co_await attempt(exchange, plan, *where, work);
        const bool cancelled = co_await isCancelled();
        if (cancelled) {
            work.finish(request_outcome::cancelled);
            co_return;
        }
        if (result.settled) {
            work.finish(result.outcome);
            co_return;
        }
        mayHaveRun = mayHaveRun || result.mayHaveRun;
        why = std::move(result.why);
        if (result.outcome == request_outcome::timedOut || (result.mayHaveRun && !plan.facts.repeatable)) {
            work.finish(result.outcome);
            break;
        }
        LOG4CXX_INFO(routeLog(), plan.facts.pool << " failed at " << where->endpoint << ": " << why.text);
        where = co_await work.retry(result.outcome);
        if (!where) {
            why.text += "; not tried again: " + work.lastReason().text;
        }
    }
    if (why.text.empty()) {
        why = work.lastReason();
        LOG4CXX_INFO(routeLog(),
                     plan.facts.pool << " refused, class " << toString(plan.facts.urgency) << ", account " << plan.facts.account << ": " << why.text);
    }
    const base::run_state state = mayHaveRun ? base::run_state::unknown : base::answerFor(why.kind).state;
    co_await exchange->respond(problemAnswer(why, state));
}

asio::awaitable<forwarder::attempt_result>
    forwarder::attempt(std::shared_ptr<net::http_exchange> exchange, const forwarding_plan &plan, routing::dispatch where, admitted_request &work)
{
    attempt_result result;
    const std::optional<net::address> address = m_endpoints.find(where.endpoint);
    if (!address) {
        result.outcome = request_outcome::notSent;
        result.why = {base::error_kind::endpointRefused, "the address of " + where.endpoint.value() + " is not known"};
        co_return result;
    }
    net::http_send_options options;
    options.deadline = plan.facts.deadline;
    options.answerTimeout = std::max(plan.facts.deadline - base::clock::now(), base::milliseconds(1));
    options.connectTimeout = std::min(options.connectTimeout, options.answerTimeout);
    net::http_request request = requestForEndpoint(exchange->request(), plan.idempotencyKey);
    std::shared_ptr<net::http_client_stream> answer = co_await m_client.open(*address, std::move(request), options);
    if (!answer) {
        result.why = m_client.lastReason();
        result.mayHaveRun = result.why.kind != base::error_kind::endpointRefused;
        result.outcome = !result.mayHaveRun ? request_outcome::notSent : m_client.hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
        co_return result;
    }
    if (isOverloadAnswer(answer->header(), plan.inference)) {
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::overloaded, where.endpoint.value() + " is overloaded"};
        co_return result;
    }
    const bool events = isEventStream(answer->header());
    if (!events) {
        co_return co_await passWhole(exchange, answer, work, plan.inference);
    }
    const bool needsDone = plan.inference && answer->header().result() == http::status::ok;
    co_return co_await passStream(exchange, answer, work, std::string(), needsDone);
}

asio::awaitable<forwarder::attempt_result>
    forwarder::passWhole(std::shared_ptr<net::http_exchange> exchange, std::shared_ptr<net::http_client_stream> answer, admitted_request &work, bool inference)
{
    attempt_result result;
    result.mayHaveRun = true;
    if (!answer->marksItsEnd()) {
        result.outcome = request_outcome::answered;
        result.why = {base::error_kind::endpointInvalidAnswer, "the answer does not say where it ends"};
        co_await exchange->respond(problemAnswer(result.why, base::run_state::unknown));
        result.settled = true;
        co_return result;
    }
    net::http_response whole(answer->header().result(), 11);
    copyAnswerFields(answer->header(), whole);
    while (true) {
        const std::optional<std::string_view> piece = co_await answer->read();
        if (!piece) {
            result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
            result.why = answer->lastReason();
            co_return result;
        }
        if (whole.body().empty()) {
            work.firstByte();
        }
        if (piece->empty()) {
            break;
        }
        whole.body().append(*piece);
        if (whole.body().size() > longestWholeAnswer) {
            co_return co_await passStream(exchange, answer, work, std::move(whole.body()), false);
        }
    }
    if (inference) {
        event_scanner scanner;
        scanner.feed("data: " + whole.body() + "\n\n");
        work.progress(scanner.tokens());
    }
    whole.set(runStateField, "ran");
    const bool sent = co_await exchange->respond(std::move(whole));
    result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
    result.settled = true;
    co_return result;
}

asio::awaitable<forwarder::attempt_result> forwarder::passStream(std::shared_ptr<net::http_exchange> exchange,
                                                                 std::shared_ptr<net::http_client_stream> answer,
                                                                 admitted_request &work,
                                                                 std::string beginning,
                                                                 bool needsDone)
{
    attempt_result result;
    result.mayHaveRun = true;
    const bool events = isEventStream(answer->header());
    event_scanner scanner;
    bool sent = true;
    std::string_view ready = beginning;
    while (true) {
        if (!ready.empty() && !exchange->isStarted()) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent && !ready.empty()) {
            sent = co_await exchange->writeChunk(ready);
        }
        if (!sent) {
            result.outcome = request_outcome::cancelled;
            result.settled = true;
            co_return result;
        }
        const std::optional<std::string_view> piece = co_await answer->read();
        const bool ended = piece && piece->empty();
        const bool whole = ended && (needsDone ? scanner.isDone() : answer->marksItsEnd() && !scanner.isInsideEvent());
        if (!piece || (ended && !whole)) {
            break;
        }
        if (ended) {
            if (!exchange->isStarted()) {
                sent = co_await startStream(exchange, answer);
            }
            if (sent) {
                sent = co_await exchange->finishStream();
            }
            result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
            result.settled = true;
            co_return result;
        }
        work.firstByte();
        ready = events ? scanner.feed(*piece) : *piece;
        if (needsDone) {
            work.progress(scanner.tokens());
        }
    }
    // The stream broke off, or ended without the mark of its end.
    result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
    result.why = answer->lastReason();
    if (result.why.text.empty()) {
        result.why = {base::error_kind::endpointInvalidAnswer, "the stream ended before its end mark"};
    }
    if (exchange->isStarted()) {
        if (events) {
            co_await exchange->writeChunk(problemEvent(result.why, base::run_state::unknown));
        }
        result.settled = true;
    }
    co_return result;
}

} // namespace chervilbend::node
