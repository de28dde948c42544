#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
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
/// A connection over the platform's links is there within some ms; the kernel repeats a lost opening packet only after a second.
constexpr base::milliseconds longestConnect{300};
/// A request that may run only once is not sent on a connection that its peer may have dropped in the meantime.
constexpr base::milliseconds longestIdleForOnce{1'500};
/// When a caller of the platform's wire may come back after a refusal.
constexpr const char *retryAfterSeconds = "0.2";
/// Endpoints that a request may be offered to beyond its route's bound while none of them ran it.
constexpr int mostUnrunAttempts = 2;

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

/// The log line of a decision on a request.
base::log_event eventFor(std::string_view name, const forwarding_plan &plan)
{
    base::log_event event(name);
    event.with("request", plan.attempt).with("pool", plan.facts.pool).with("class", config::nameOf(plan.facts.urgency));
    if (!plan.facts.account.empty()) {
        event.with("account", plan.facts.account.value());
    }
    return event;
}

asio::awaitable<bool> startStream(std::shared_ptr<net::http_exchange> exchange, std::shared_ptr<net::http_client_stream> answer)
{
    http::response<http::empty_body> header(answer->header().result(), 11);
    copyAnswerFields(answer->header(), header);
    header.set(runStateField, "ran");
    co_return co_await exchange->startStream(std::move(header));
}

/// Whether a stream that ended without a failure is complete.
bool isWhole(const forwarding_plan &plan, const net::http_client_stream &answer, const event_scanner &scanner, bool needsDone)
{
    if (needsDone) {
        return scanner.isDone();
    }
    return (answer.isSelfDelimiting() || plan.statusIsPromise) && !scanner.isInsideEvent();
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

void forwarder::onMissing(missing_listener listener)
{
    m_onMissing = std::move(listener);
}

asio::awaitable<void> forwarder::forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    const auto request = std::make_shared<passage>(m_admission, m_metrics, exchange, std::move(plan));
    const routing::request_facts &facts = request->plan.facts;
    const base::time_point began = base::clock::now();
    std::optional<routing::dispatch> where = co_await request->work.submit(facts);
    bool mayHaveRun = false;
    base::reason why;
    request_outcome outcome = request_outcome::refused;
    int attempts = 0;
    // Attempts that may have run; only these count against the route's bound.
    int counted = 0;
    while (where) {
        ++attempts;
        LOG4CXX_INFO(routeLog(),
                     eventFor("sent", request->plan)
                         .with("endpoint", where->endpoint.value())
                         .with("attempt", attempts)
                         .with("waitedMs", (base::clock::now() - began).count())
                         .with("why", where->why)
                         .text());
        const bool isLast = request->plan.mostAttempts != 0 && counted + 1 >= request->plan.mostAttempts;
        attempt_result result = co_await attempt(request, *where, isLast);
        counted += result.mayHaveRun ? 1 : 0;
        const bool isUsedUp =
            request->plan.mostAttempts != 0 && (counted >= request->plan.mostAttempts || attempts >= request->plan.mostAttempts + mostUnrunAttempts);
        const bool cancelled = co_await isCancelled();
        outcome = cancelled ? request_outcome::cancelled : result.outcome;
        if (cancelled || result.settled) {
            LOG4CXX_INFO(routeLog(),
                         eventFor(cancelled ? "callerLeft" : "ended", request->plan)
                             .with("endpoint", where->endpoint.value())
                             .with("tookMs", (base::clock::now() - began).count())
                             .with("firstByteMs", request->firstByteAfter().value_or(base::milliseconds(-1)).count())
                             .with("longestGapMs", request->longestGap().count())
                             .with("why", result.why.text)
                             .text());
            request->finish(outcome);
            co_return;
        }
        mayHaveRun = mayHaveRun || result.mayHaveRun;
        why = std::move(result.why);
        LOG4CXX_INFO(routeLog(), eventFor("attemptFailed", request->plan).with("endpoint", where->endpoint.value()).with("why", why.text).text());
        const bool timeIsUp = base::clock::now() >= facts.deadline;
        if (isUsedUp || timeIsUp || (outcome == request_outcome::timedOut && request->plan.mostAttempts == 0) || (result.mayHaveRun && !facts.repeatable)) {
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
    }
    request->finish(outcome);
    co_await refuse(request, std::move(why), mayHaveRun);
}

asio::awaitable<void> forwarder::refuse(std::shared_ptr<passage> request, base::reason why, bool mayHaveRun)
{
    const forwarding_plan &plan = request->plan;
    LOG4CXX_INFO(routeLog(), eventFor("refused", plan).with("mayHaveRun", mayHaveRun).with("why", why.text).text());
    m_metrics.onProblem(why.kind);
    if (plan.statusIsPromise) {
        why.kind = mayHaveRun ? base::error_kind::endpointFailed : base::error_kind::noEndpoint;
    }
    const base::run_state state = mayHaveRun ? base::run_state::unknown : base::answerFor(why.kind).state;
    net::http_response answer = problemAnswer(why, state);
    if (plan.statusIsPromise && !mayHaveRun) {
        answer.set(http::field::retry_after, retryAfterSeconds);
    }
    co_await request->exchange->respond(std::move(answer));
}

asio::awaitable<forwarder::attempt_result> forwarder::attempt(std::shared_ptr<passage> request, routing::dispatch where, bool isLast)
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
    if (plan.statusIsPromise) {
        options.connectTimeout = std::min(options.connectTimeout, longestConnect);
        options.maxIdleTime = plan.facts.repeatable ? options.maxIdleTime : longestIdleForOnce;
    }
    if (plan.patience > base::milliseconds(0) && !isLast) {
        options.answerTimeout = std::min(options.answerTimeout, plan.patience);
        options.keepWaiting = [this, weak = std::weak_ptr(request), endpoint = where.endpoint] {
            const std::shared_ptr<passage> waiting = weak.lock();
            if (!waiting || !waiting->work.allowsRetry()) {
                return waiting != nullptr;
            }
            // Within a stream, a live endpoint is silent when it has put the request back; before the first byte, another is tried.
            return waiting->hasFirstByte() && !isSilent(endpoint, waiting->plan.patience);
        };
    }
    const endpoint_dialect &dialect = plan.dialect ? *plan.dialect : m_native;
    net::http_request forwarded = dialect.prepare(request->exchange->request(), plan, where.endpoint, request->events.lastEvent());
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
    m_lastBytes[where.endpoint] = base::clock::now();
    co_return co_await pass(request, std::move(where), answer);
}

bool forwarder::isSilent(const base::endpoint_id &endpoint, base::milliseconds patience) const
{
    const auto last = m_lastBytes.find(endpoint);
    return last == m_lastBytes.end() || base::clock::now() - last->second >= patience;
}

asio::awaitable<forwarder::attempt_result>
    forwarder::pass(std::shared_ptr<passage> request, routing::dispatch where, std::shared_ptr<net::http_client_stream> answer)
{
    attempt_result result;
    const forwarding_plan &plan = request->plan;
    const endpoint_dialect &dialect = plan.dialect ? *plan.dialect : m_native;
    fleet::answer_disposition verdict = dialect.judge(answer->header(), plan);
    while (verdict == fleet::answer_disposition::mismatched) {
        // The answer to a request that was given up comes before the one that is waited for.
        if (!co_await answer->skipToNextAnswer()) {
            result.mayHaveRun = true;
            result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
            result.why = answer->lastReason();
            co_return result;
        }
        verdict = dialect.judge(answer->header(), plan);
    }
    switch (verdict) {
    case fleet::answer_disposition::notExecutedOverloaded:
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::overloaded, where.endpoint.value() + " is overloaded"};
        co_return result;
    case fleet::answer_disposition::notExecutedMisdirected:
        if (m_onMissing) {
            m_onMissing(where.endpoint, plan.item);
        }
        result.outcome = request_outcome::refused;
        result.why = {base::error_kind::noEndpoint, where.endpoint.value() + " does not hold " + plan.facts.pool + " any more"};
        co_return result;
    case fleet::answer_disposition::invalid:
        result.mayHaveRun = true;
        result.outcome = request_outcome::connectionLost;
        result.why = {base::error_kind::endpointInvalidAnswer, "the endpoint does not vouch for its answer " + std::to_string(answer->header().result_int())};
        co_return result;
    case fleet::answer_disposition::notExecutedRejected:
    case fleet::answer_disposition::forwardToCaller:
    case fleet::answer_disposition::mismatched:
        break;
    }
    if (!isEventStream(answer->header())) {
        if (request->exchange->isStarted()) {
            result.mayHaveRun = true;
            result.outcome = request_outcome::connectionLost;
            result.why = {base::error_kind::endpointInvalidAnswer,
                          "the endpoint answered " + std::to_string(answer->header().result_int()) + " to a stream's second part"};
            co_return result;
        }
        co_return co_await passWhole(request, answer);
    }
    const bool needsDone = plan.inference && answer->header().result() == http::status::ok;
    request->endpoint = where.endpoint;
    co_return co_await passStream(request, answer, std::string(), needsDone);
}

asio::awaitable<forwarder::attempt_result> forwarder::passWhole(std::shared_ptr<passage> request, std::shared_ptr<net::http_client_stream> answer)
{
    attempt_result result;
    result.mayHaveRun = true;
    result.settled = true;
    if (!answer->isSelfDelimiting() && !request->plan.statusIsPromise) {
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
    const forwarding_plan &plan = request->plan;
    const bool events = isEventStream(answer->header());
    attempt_result result;
    result.mayHaveRun = true;
    event_scanner &scanner = request->events;
    std::string_view ready = beginning;
    bool whole = false;
    while (true) {
        bool sent = true;
        if (!ready.empty() && !exchange->isStarted()) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent) {
            sent = co_await exchange->writeChunk(ready);
        }
        if (!sent) {
            result.settled = true;
            result.outcome = request_outcome::cancelled;
            co_return result;
        }
        const std::optional<std::string_view> piece = co_await answer->read();
        if (!piece || piece->empty()) {
            whole = piece && isWhole(plan, *answer, scanner, needsDone);
            break;
        }
        request->firstByte();
        request->notePiece();
        m_lastBytes[request->endpoint] = base::clock::now();
        ready = events ? scanner.feed(*piece) : *piece;
        if (events && scanner.isOutOfOrder()) {
            result.why = {base::error_kind::endpointInvalidAnswer, "the stream's events are out of order"};
            break;
        }
        request->progress(base::token_count(scanner.tokens().count() * plan.tokensPerEvent));
    }
    if (whole) {
        bool sent = exchange->isStarted();
        if (!sent) {
            sent = co_await startStream(exchange, answer);
        }
        if (sent) {
            sent = co_await exchange->finishStream();
        }
        result.settled = true;
        result.outcome = sent ? request_outcome::answered : request_outcome::cancelled;
        co_return result;
    }
    result.outcome = answer->hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
    if (result.why.text.empty()) {
        result.why = answer->lastReason();
    }
    if (result.why.text.empty()) {
        result.why = {base::error_kind::endpointInvalidAnswer, "the stream ended before its end mark"};
    }
    // What has begun can only go on where a stream can be resumed.
    result.settled = exchange->isStarted() && !(plan.resumable && scanner.lastEvent() && !scanner.isOutOfOrder());
    if (result.settled) {
        m_metrics.onBrokenStream();
        if (events && !plan.statusIsPromise) {
            co_await exchange->writeChunk(problemEvent(result.why, base::run_state::unknown));
        }
    }
    co_return result;
}

} // namespace chervilbend::node
