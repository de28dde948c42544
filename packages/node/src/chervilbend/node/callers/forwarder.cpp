#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/endpoint_reachability.hpp>
#include <chervilbend/node/callers/forwarded_request.hpp>
#include <chervilbend/node/callers/kept_response.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>
#include <chervilbend/node/callers/quota_charge.hpp>
#include <chervilbend/node/callers/request_relay.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

using routing::request_outcome;

/// Connecting over the platform's links takes a few milliseconds, but the kernel retransmits a lost SYN only after one second; trying
/// another endpoint is faster.
constexpr base::milliseconds maxConnectTimeout{300};
/// A non-repeatable request is not sent on a connection that was idle for longer, since the peer may have closed it in the meantime.
constexpr base::milliseconds maxIdleForNonRepeatable{1'500};
/// `Retry-After` of refusals to callers of the platform's protocol, unless it is estimated.
constexpr base::milliseconds fixedRetryAfter{200};
/// Interval at which is looked whether the endpoint of a kept response sends again.
constexpr base::milliseconds keptCheckInterval{50};
/// Additional attempts beyond the route's limit, available only as long as attempts provably did not execute the request.
constexpr int maxUnexecutedAttempts = 2;

const log4cxx::LoggerPtr &routeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("route");
    return logger;
}

/// A log event with the fields that are common to all routing decisions.
base::log_event eventFor(std::string_view name, const forwarding_plan &plan)
{
    base::log_event event(name);
    event.with("request", plan.attemptId).with("pool", plan.facts.pool).with("class", config::nameOf(plan.facts.urgency));
    if (!plan.facts.account.empty()) {
        event.with("account", plan.facts.account.value());
    }
    return event;
}

} // namespace

forwarder::forwarder(admission &requestAdmission, endpoint_directory &endpoints, net::http_client &client, caller_metrics &metrics)
    : m_admission(requestAdmission)
    , m_endpoints(endpoints)
    , m_client(client)
    , m_metrics(metrics)
{
}

void forwarder::setResponseLimit(base::byte_count limit)
{
    m_responseBudget = std::make_shared<base::byte_budget>(static_cast<std::size_t>(limit.count()));
}

void forwarder::setRetryEstimation(bool isEnabled)
{
    m_estimatesRetryAfter = isEnabled;
}

void forwarder::setMissingItemListener(missing_item_listener listener)
{
    m_missingItemListener = std::move(listener);
}

void forwarder::setStreamOrigins(fleet::stream_origins &origins)
{
    m_streamOrigins = &origins;
}

void forwarder::setReachability(endpoint_reachability &reachability)
{
    m_reachability = &reachability;
}

void forwarder::setRelay(request_relay &relay)
{
    m_relay = &relay;
}

asio::awaitable<void> forwarder::forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    const auto request = std::make_shared<forwarded_request>(m_admission, m_metrics, m_streamOrigins, m_responseBudget, exchange, std::move(plan));
    forwarding_progress progress;
    bool isFinished = false;
    if (!mayRelay(*request, progress)) {
        isFinished = co_await forwardToEndpoints(request, progress);
    }
    if (!isFinished && mayRelay(*request, progress) && !request->hasKeptGoneOn()) {
        isFinished = co_await forwardToHelpers(request, progress);
    }
    if (!isFinished && request->hasKept() && !isStranded()) {
        isFinished = co_await forwardKept(request, progress);
    }
    if (!isFinished) {
        request->finish(progress.outcome);
        if (request->exchange->isStarted() && !request->exchange->cancelReason()) {
            noteBrokenOff(*request, progress);
        } else {
            co_await refuse(request, std::move(progress.why), progress.mayHaveRun);
        }
    }
}

asio::awaitable<bool> forwarder::forwardToEndpoints(std::shared_ptr<forwarded_request> request, forwarding_progress &progress)
{
    const routing::request_facts &facts = request->plan.facts;
    std::optional<routing::dispatch> target = co_await request->admitted.submit(facts);
    while (target) {
        ++progress.attempts;
        LOG4CXX_INFO(routeLog(),
                     eventFor("sent", request->plan)
                         .with("endpoint", target->endpoint.value())
                         .with("software", target->softwareVersion.value())
                         .with("attempt", progress.attempts)
                         .with("waitedMs", (base::clock::now() - progress.startedAt).count())
                         .with("why", target->why)
                         .text());
        const bool isLast = request->plan.maxAttempts != 0 && progress.countedAttempts + 1 >= request->plan.maxAttempts;
        attempt_result result = co_await attempt(request, *target, isLast);
        const bool mayHaveRun = result.mayHaveRun;
        const bool isFinished = concludeAttempt(*request, std::move(result), target->endpoint.value(), progress);
        if (isFinished) {
            co_return true;
        }
        if (mayRelay(*request, progress)) {
            request->admitted.finish(progress.outcome);
            co_return false;
        }
        const bool attemptsExhausted = request->plan.maxAttempts != 0
            && (progress.countedAttempts >= request->plan.maxAttempts || progress.attempts >= request->plan.maxAttempts + maxUnexecutedAttempts);
        const bool deadlinePassed = base::clock::now() >= facts.deadline;
        if (attemptsExhausted || deadlinePassed || (progress.outcome == request_outcome::timedOut && request->plan.maxAttempts == 0)
            || (mayHaveRun && !facts.repeatable) || request->hasKeptGoneOn()) {
            break;
        }
        target = co_await request->admitted.retry(progress.outcome);
        if (target && request->isKeptAt(target->endpoint)) {
            progress.isBackAtKept = true;
            break;
        }
        if (target) {
            m_metrics.onRetry();
        } else {
            progress.why.text += "; not tried again: " + request->admitted.lastReason().text;
        }
    }
    if (progress.why.text.empty()) {
        progress.why = request->admitted.lastReason();
    }
    co_return false;
}

asio::awaitable<bool> forwarder::forwardKept(std::shared_ptr<forwarded_request> request, forwarding_progress &progress)
{
    if (!progress.isBackAtKept) {
        // The other endpoint is not to blame where the kept one was faster.
        request->admitted.finish(request->hasKeptGoneOn() ? request_outcome::cancelled : progress.outcome);
    }
    const kept_response kept = request->takeKept();
    LOG4CXX_INFO(routeLog(),
                 eventFor("keptOn", request->plan)
                     .with("endpoint", kept.endpoint.value())
                     .with("lastEvent", request->events.lastEvent().value_or(-1))
                     .with("why", progress.why.text)
                     .text());
    m_metrics.onKeptStream();
    kept.answer->waitUntilDeadline();
    attempt_result result = co_await forwardStream(request, kept.answer, std::string(), false);
    co_return concludeAttempt(*request, std::move(result), kept.endpoint.value(), progress);
}

bool forwarder::concludeAttempt(forwarded_request &request, attempt_result result, const std::string &target, forwarding_progress &progress)
{
    progress.countedAttempts += result.mayHaveRun ? 1 : 0;
    if (request.plan.charge) {
        request.plan.charge->endAttempt(result.isFinal || result.mayHaveRun);
    }
    progress.outcome = result.outcome;
    if (result.isFinal) {
        LOG4CXX_INFO(routeLog(),
                     eventFor("ended", request.plan)
                         .with("endpoint", target)
                         .with("tookMs", (base::clock::now() - progress.startedAt).count())
                         .with("firstByteMs", request.timeToFirstByte().value_or(base::milliseconds(-1)).count())
                         .with("longestGapMs", request.longestGap().count())
                         .with("why", result.why.text)
                         .text());
        request.finish(progress.outcome);
        return true;
    }
    progress.mayHaveRun = progress.mayHaveRun || result.mayHaveRun;
    m_metrics.onFailedAttempt(result.evidence);
    progress.why = std::move(result.why);
    LOG4CXX_INFO(routeLog(),
                 eventFor("attemptFailed", request.plan)
                     .with("endpoint", target)
                     .with("hadFirstByte", request.hasFirstByte())
                     .with("promptParts", request.plan.sharedPromptParts)
                     .with("mayHaveRun", result.mayHaveRun)
                     .with("evidence", toString(result.evidence))
                     .with("status", result.status)
                     .with("connection", result.connection)
                     .with("usedConnection", result.isOnUsedConnection)
                     .with("why", progress.why.text)
                     .text());
    return false;
}

forwarder::attempt_result forwarder::failedAttempt(const net::http_client &client)
{
    attempt_result result;
    result.why = client.lastReason();
    result.mayHaveRun = result.why.kind != base::error_kind::endpointRefused;
    if (!result.mayHaveRun) {
        result.evidence = run_evidence::notSent;
        result.outcome = client.hasFailedLocally() ? request_outcome::notAttempted : request_outcome::notSent;
    } else {
        result.outcome = client.hasTimedOut() ? request_outcome::timedOut : request_outcome::connectionLost;
    }
    return result;
}

void forwarder::noteBrokenOff(const forwarded_request &request, const forwarding_progress &progress)
{
    m_metrics.onBrokenStream();
    LOG4CXX_INFO(routeLog(),
                 eventFor("brokenOff", request.plan)
                     .with("lastEvent", request.events.lastEvent().value_or(-1))
                     .with("attempts", progress.attempts)
                     .with("tookMs", (base::clock::now() - progress.startedAt).count())
                     .with("longestGapMs", request.longestGap().count())
                     .with("why", progress.why.text)
                     .text());
}

asio::awaitable<void> forwarder::refuse(std::shared_ptr<forwarded_request> request, base::reason why, bool mayHaveRun)
{
    const forwarding_plan &plan = request->plan;
    // A request that crashes endpoints would be refused again, and so would one for a stream that cannot be continued.
    const bool isWorthRepeating = why.kind != base::error_kind::requestRefused && why.kind != base::error_kind::notResumable;
    // Refusals that may have run, or outside the platform's protocol, keep the field of their kind of error.
    const bool hasOwnRetryAfter = isWorthRepeating && plan.hasStrictStatus && !mayHaveRun;
    const std::optional<base::milliseconds> retryAfter = hasOwnRetryAfter ? retryAfterFor(plan.facts) : std::nullopt;
    base::log_event event = eventFor("refused", plan);
    event.with("mayHaveRun", mayHaveRun).with("promptParts", plan.sharedPromptParts);
    if (retryAfter) {
        event.with("retryAfterMs", retryAfter->count());
    }
    LOG4CXX_INFO(routeLog(), event.with("why", why.text).text());
    m_metrics.onProblem(why.kind);
    if (plan.hasStrictStatus) {
        why.kind = mayHaveRun ? base::error_kind::endpointFailed : base::error_kind::noEndpoint;
    }
    const base::run_state state = mayHaveRun ? base::run_state::unknown : base::answerFor(why.kind).state;
    net::http_response answer = problemAnswer(why, state);
    if (!isWorthRepeating || hasOwnRetryAfter) {
        setRetryAfter(answer, retryAfter);
    }
    co_await request->exchange->respond(std::move(answer));
}

std::optional<base::milliseconds> forwarder::retryAfterFor(const routing::request_facts &facts)
{
    const std::optional<base::milliseconds> retryAfter = m_estimatesRetryAfter ? m_admission.retryAfter(facts) : fixedRetryAfter;
    if (retryAfter) {
        m_metrics.onRetryAfter(*retryAfter);
    }
    return retryAfter;
}

asio::awaitable<forwarder::attempt_result> forwarder::attempt(std::shared_ptr<forwarded_request> request, routing::dispatch target, bool isLast)
{
    attempt_result result;
    request->startAttempt();
    if (request->plan.charge) {
        request->plan.charge->startAttempt();
    }
    const std::optional<net::address> address = m_endpoints.find(target.endpoint);
    if (!address) {
        result.evidence = run_evidence::notSent;
        result.outcome = request_outcome::notAttempted;
        result.why = {base::error_kind::endpointRefused, "the address of " + target.endpoint.value() + " is not known"};
        co_return result;
    }
    const forwarding_plan &plan = request->plan;
    net::http_send_options options;
    options.deadline = plan.facts.deadline;
    options.answerTimeout = plan.timeLeft();
    options.connectTimeout = std::min(options.connectTimeout, options.answerTimeout);
    if (plan.hasStrictStatus) {
        options.connectTimeout = std::min(options.connectTimeout, maxConnectTimeout);
        options.maxIdleTime = plan.facts.repeatable ? options.maxIdleTime : maxIdleForNonRepeatable;
    }
    if (plan.silenceTimeout > base::milliseconds(0) && !isLast) {
        options.answerTimeout = std::min(options.answerTimeout, plan.silenceTimeout);
        options.keepWaiting = [this, weak = std::weak_ptr(request), endpoint = target.endpoint] {
            const std::shared_ptr<forwarded_request> waiting = weak.lock();
            noteWaiting();
            return waiting && !isStranded() && !(isAbandonable(*waiting, endpoint) && waiting->admitted.allowsRetry());
        };
    }
    if (request->hasKept()) {
        options.answerTimeout = std::min(options.answerTimeout, keptCheckInterval);
        options.keepWaiting = [others = std::move(options.keepWaiting), weak = std::weak_ptr(request)] {
            const std::shared_ptr<forwarded_request> waiting = weak.lock();
            return waiting && !waiting->hasKeptGoneOn() && (!others || others());
        };
    }
    const endpoint_protocol &protocol = plan.protocol ? *plan.protocol : m_nativeProtocol;
    attempt_terms terms;
    terms.endpoint = target.endpoint;
    terms.lastEvent = request->events.lastEvent();
    net::http_request forwarded = protocol.prepare(request->exchange->request(), plan, terms);
    const std::int64_t connectionsBefore = m_client.connectionsOpened();
    noteWaiting();
    const std::shared_ptr<net::http_client_stream> answer = co_await m_client.open(*address, std::move(forwarded), options);
    if (!answer) {
        result = failedAttempt(m_client);
        noteFailure(target.endpoint, result.outcome);
        co_return result;
    }
    noteAnswer(m_client.connectionsOpened() != connectionsBefore);
    co_return co_await forwardResponse(request, protocol, std::move(target), answer);
}

bool forwarder::isStranded() const
{
    return m_relay && m_relay->isNeeded();
}

void forwarder::noteWaiting()
{
    if (m_reachability) {
        m_reachability->noteWaiting();
    }
}

void forwarder::noteFailure(const base::endpoint_id &endpoint, request_outcome outcome)
{
    if (m_reachability && routing::wasNotSent(outcome)) {
        m_reachability->noteConnectFailure(endpoint);
    }
}

void forwarder::noteAnswer(bool hasConnected)
{
    if (!m_reachability) {
        return;
    }
    m_reachability->noteReceived();
    if (hasConnected) {
        m_reachability->noteConnected();
    }
}

bool forwarder::isAbandonable(const forwarded_request &request, const base::endpoint_id &endpoint) const
{
    if (!request.plan.resumable) {
        return !request.hasFirstByte();
    }
    const bool canGoOnElsewhere = !request.exchange->isStarted() || request.events.isResumable();
    return canGoOnElsewhere && m_silence->isSilent(endpoint, request.plan.silenceTimeout);
}

} // namespace chervilbend::node
