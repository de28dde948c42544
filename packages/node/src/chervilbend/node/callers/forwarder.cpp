#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_terms.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/event_scanner.hpp>
#include <chervilbend/node/callers/front_metrics.hpp>
#include <chervilbend/node/callers/message_headers.hpp>
#include <chervilbend/node/callers/passage.hpp>
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

forwarder::forwarder(admission &gate, endpoint_directory &endpoints, net::http_client &client, front_metrics &metrics)
    : m_admission(gate)
    , m_endpoints(endpoints)
    , m_client(client)
    , m_metrics(metrics)
{
}

asio::awaitable<void> forwarder::forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    const auto request = std::make_shared<passage>(m_admission, m_metrics, exchange, std::move(plan));
    const routing::request_facts &facts = request->plan.facts;
    std::optional<routing::dispatch> where = co_await request->work.submit(facts);
    bool mayHaveRun = false;
    base::reason why;
    request_outcome outcome = request_outcome::refused;
    while (where) {
        LOG4CXX_INFO(routeLog(),
                     facts.pool << " to " << where->endpoint << ", class " << config::nameOf(facts.urgency) << ", account " << facts.account << ": "
                                << where->why);
        attempt_result result = co_await attempt(request, *where);
        const bool cancelled = co_await isCancelled();
        outcome = cancelled ? request_outcome::cancelled : result.outcome;
        if (cancelled || result.settled) {
            request->finish(outcome);
            co_return;
        }
        mayHaveRun = mayHaveRun || result.mayHaveRun;
        why = std::move(result.why);
        LOG4CXX_INFO(routeLog(), facts.pool << " failed at " << where->endpoint << ": " << why.text);
        if (outcome == request_outcome::timedOut || (result.mayHaveRun && !facts.repeatable)) {
            break;
        }
        where = co_await request->work.retry(outcome);
        if (where) {
            m_metrics.onRetry();
        } else {
            why.text += "; not tried again: " + request->work.lastReason().text;
        }
    }
    if (why.text.empty()) {
        why = request->work.lastReason();
        LOG4CXX_INFO(routeLog(), facts.pool << " refused, class " << config::nameOf(facts.urgency) << ", account " << facts.account << ": " << why.text);
    }
    request->finish(outcome);
    m_metrics.onProblem(why.kind);
    const base::run_state state = mayHaveRun ? base::run_state::unknown : base::answerFor(why.kind).state;
    co_await exchange->respond(problemAnswer(why, state));
}

asio::awaitable<forwarder::attempt_result> forwarder::attempt(std::shared_ptr<passage> request, routing::dispatch where)
{
    attempt_result result;
    request->startAttempt();
    const std::optional<net::address> address = m_endpoints.find(where.endpoint);
    if (!address) {
        result.outcome = request_outcome::notSent;
        result.why = {base::error_kind::endpointRefused, "the address of " + where.endpoint.value() + " is not known"};
        co_return result;
    }
    const forwarding_plan &plan = request->plan;
    net::http_send_options options;
    options.deadline = plan.facts.deadline;
    options.answerTimeout = std::max(plan.facts.deadline - base::clock::now(), base::milliseconds(1));
    options.connectTimeout = std::min(options.connectTimeout, options.answerTimeout);
    net::http_request forwarded = requestForEndpoint(request->exchange->request(), plan);
    const std::shared_ptr<net::http_client_stream> answer = co_await m_client.open(*address, std::move(forwarded), options);
    if (!answer) {
        result.why = m_client.lastReason();
        result.mayHaveRun = result.why.kind != base::error_kind::endpointRefused;
        if (!result.mayHaveRun) {
            result.outcome = request_outcome::notSent;
        } else {
            result.outcome = m_client.hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
        }
        co_return result;
    }
    if (isOverloadAnswer(answer->header(), plan.inference)) {
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::overloaded, where.endpoint.value() + " is overloaded"};
        co_return result;
    }
    // An engine answers 404 for a model that is not loaded (docs/wire.md): it was restarted since its last report.
    if (plan.inference && answer->header().result() == http::status::not_found) {
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::noEndpoint, where.endpoint.value() + " does not hold " + plan.facts.pool + " any more"};
        co_return result;
    }
    if (!isEventStream(answer->header())) {
        co_return co_await passWhole(request, answer);
    }
    const bool needsDone = plan.inference && answer->header().result() == http::status::ok;
    co_return co_await passStream(request, answer, std::string(), needsDone);
}

asio::awaitable<forwarder::attempt_result> forwarder::passWhole(std::shared_ptr<passage> request, std::shared_ptr<net::http_client_stream> answer)
{
    attempt_result result;
    result.mayHaveRun = true;
    result.settled = true;
    if (!answer->marksItsEnd()) {
        result.why = {base::error_kind::endpointInvalidAnswer, "the endpoint's answer does not say where it ends"};
        m_metrics.onProblem(result.why.kind);
        co_await request->exchange->respond(problemAnswer(result.why));
        co_return result;
    }
    net::http_response whole(answer->header().result(), 11);
    copyAnswerFields(answer->header(), whole);
    bool ended = false;
    while (!ended) {
        const std::optional<std::string_view> piece = co_await answer->read();
        if (!piece) {
            result.settled = false;
            result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
            result.why = answer->lastReason();
            co_return result;
        }
        request->firstByte();
        ended = piece->empty();
        whole.body().append(*piece);
        if (whole.body().size() > longestWholeAnswer) {
            co_return co_await passStream(request, answer, std::move(whole.body()), false);
        }
    }
    if (request->plan.inference) {
        request->progress(event_scanner::tokensOfWholeAnswer(whole.body()));
    }
    whole.set(runStateField, "ran");
    const bool sent = co_await request->exchange->respond(std::move(whole));
    result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
    co_return result;
}

asio::awaitable<forwarder::attempt_result>
    forwarder::passStream(std::shared_ptr<passage> request, std::shared_ptr<net::http_client_stream> answer, std::string beginning, bool needsDone)
{
    const std::shared_ptr<net::http_exchange> exchange = request->exchange;
    const bool events = isEventStream(answer->header());
    attempt_result result;
    result.mayHaveRun = true;
    result.settled = true;
    event_scanner scanner;
    std::string_view ready = beginning;
    bool ended = false;
    bool whole = false;
    while (!ended) {
        bool sent = true;
        if (!ready.empty() && !exchange->isStarted()) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent) {
            sent = co_await exchange->writeChunk(ready);
        }
        if (!sent) {
            result.outcome = request_outcome::cancelled;
            co_return result;
        }
        const std::optional<std::string_view> piece = co_await answer->read();
        ended = !piece || piece->empty();
        if (ended) {
            whole = piece && (needsDone ? scanner.isDone() : answer->marksItsEnd() && !scanner.isInsideEvent());
            break;
        }
        request->firstByte();
        ready = events ? scanner.feed(*piece) : *piece;
        if (needsDone) {
            request->progress(scanner.tokens());
        }
    }
    if (whole) {
        bool sent = exchange->isStarted();
        if (!sent) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent) {
            sent = co_await exchange->finishStream();
        }
        result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
        co_return result;
    }
    result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
    result.why = answer->lastReason();
    if (result.why.text.empty()) {
        result.why = {base::error_kind::endpointInvalidAnswer, "the stream ended before its end mark"};
    }
    result.settled = exchange->isStarted();
    if (result.settled) {
        LOG4CXX_INFO(routeLog(), request->plan.facts.pool << " broke off in its stream: " << result.why.text);
        m_metrics.onBrokenStream();
        if (events) {
            co_await exchange->writeChunk(problemEvent(result.why, base::run_state::unknown));
        }
    }
    co_return result;
}

} // namespace chervilbend::node
