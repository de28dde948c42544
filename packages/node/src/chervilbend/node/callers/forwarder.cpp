#include <chervilbend/node/callers/forwarder.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/forwarded_request.hpp>
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

/// Connecting over the platform's links takes a few milliseconds, but the kernel retransmits a lost SYN only after one second; trying
/// another endpoint is faster.
constexpr base::milliseconds maxConnectTimeout{300};
/// A non-repeatable request is not sent on a connection that was idle for longer, since the peer may have closed it in the meantime.
constexpr base::milliseconds maxIdleForNonRepeatable{1'500};
/// `Retry-After` of refusals to callers of the platform's protocol, in seconds.
constexpr const char *retryAfterSeconds = "0.2";
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

asio::awaitable<bool> isCancelled()
{
    const asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
    co_return state.cancelled() != asio::cancellation_type::none;
}

} // namespace

forwarder::forwarder(admission &requestAdmission, endpoint_directory &endpoints, net::http_client &client, caller_metrics &metrics)
    : m_admission(requestAdmission)
    , m_endpoints(endpoints)
    , m_client(client)
    , m_metrics(metrics)
{
}

void forwarder::setMissingItemListener(missing_item_listener listener)
{
    m_missingItemListener = std::move(listener);
}

void forwarder::setStreamOrigins(fleet::stream_origins &origins)
{
    m_streamOrigins = &origins;
}

asio::awaitable<void> forwarder::forward(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan)
{
    const auto request = std::make_shared<forwarded_request>(m_admission, m_metrics, m_streamOrigins, exchange, std::move(plan));
    const routing::request_facts &facts = request->plan.facts;
    const base::time_point startedAt = base::clock::now();
    std::optional<routing::dispatch> target = co_await request->admitted.submit(facts);
    bool mayHaveRun = false;
    base::reason why;
    request_outcome outcome = request_outcome::refused;
    int attempts = 0;
    // Attempts that may have executed the request; only these count towards the route's limit.
    int countedAttempts = 0;
    while (target) {
        ++attempts;
        LOG4CXX_INFO(routeLog(),
                     eventFor("sent", request->plan)
                         .with("endpoint", target->endpoint.value())
                         .with("software", target->softwareVersion.value())
                         .with("attempt", attempts)
                         .with("waitedMs", (base::clock::now() - startedAt).count())
                         .with("why", target->why)
                         .text());
        const bool isLast = request->plan.maxAttempts != 0 && countedAttempts + 1 >= request->plan.maxAttempts;
        attempt_result result = co_await attempt(request, *target, isLast);
        countedAttempts += result.mayHaveRun ? 1 : 0;
        const bool attemptsExhausted =
            request->plan.maxAttempts != 0 && (countedAttempts >= request->plan.maxAttempts || attempts >= request->plan.maxAttempts + maxUnexecutedAttempts);
        const bool cancelled = co_await isCancelled();
        outcome = cancelled ? request_outcome::cancelled : result.outcome;
        if (cancelled || result.isFinal) {
            LOG4CXX_INFO(routeLog(),
                         eventFor(cancelled ? "callerLeft" : "ended", request->plan)
                             .with("endpoint", target->endpoint.value())
                             .with("tookMs", (base::clock::now() - startedAt).count())
                             .with("firstByteMs", request->timeToFirstByte().value_or(base::milliseconds(-1)).count())
                             .with("longestGapMs", request->longestGap().count())
                             .with("why", result.why.text)
                             .text());
            request->finish(outcome);
            co_return;
        }
        mayHaveRun = mayHaveRun || result.mayHaveRun;
        why = std::move(result.why);
        LOG4CXX_INFO(routeLog(),
                     eventFor("attemptFailed", request->plan)
                         .with("endpoint", target->endpoint.value())
                         .with("hadFirstByte", request->hasFirstByte())
                         .with("promptParts", request->plan.sharedPromptParts)
                         .with("why", why.text)
                         .text());
        const bool deadlinePassed = base::clock::now() >= facts.deadline;
        if (attemptsExhausted || deadlinePassed || (outcome == request_outcome::timedOut && request->plan.maxAttempts == 0)
            || (result.mayHaveRun && !facts.repeatable)) {
            break;
        }
        target = co_await request->admitted.retry(outcome);
        if (target) {
            m_metrics.onRetry();
        } else {
            why.text += "; not tried again: " + request->admitted.lastReason().text;
        }
    }
    if (why.text.empty()) {
        why = request->admitted.lastReason();
    }
    request->finish(outcome);
    co_await refuse(request, std::move(why), mayHaveRun);
}

asio::awaitable<void> forwarder::refuse(std::shared_ptr<forwarded_request> request, base::reason why, bool mayHaveRun)
{
    const forwarding_plan &plan = request->plan;
    LOG4CXX_INFO(routeLog(), eventFor("refused", plan).with("mayHaveRun", mayHaveRun).with("promptParts", plan.sharedPromptParts).with("why", why.text).text());
    m_metrics.onProblem(why.kind);
    // A request that crashes endpoints would be refused again, and so would one for a stream that cannot be continued.
    const bool isWorthRepeating = why.kind != base::error_kind::requestRefused && why.kind != base::error_kind::notResumable;
    if (plan.hasStrictStatus) {
        why.kind = mayHaveRun ? base::error_kind::endpointFailed : base::error_kind::noEndpoint;
    }
    const base::run_state state = mayHaveRun ? base::run_state::unknown : base::answerFor(why.kind).state;
    net::http_response answer = problemAnswer(why, state);
    if (!isWorthRepeating) {
        answer.erase(http::field::retry_after);
    } else if (plan.hasStrictStatus && !mayHaveRun) {
        answer.set(http::field::retry_after, retryAfterSeconds);
    }
    co_await request->exchange->respond(std::move(answer));
}

asio::awaitable<forwarder::attempt_result> forwarder::attempt(std::shared_ptr<forwarded_request> request, routing::dispatch target, bool isLast)
{
    attempt_result result;
    // The answer to an earlier attempt may come once more, and names the same attempt ID.
    const bool needsFreshConnection = request->hasTried(target.endpoint);
    request->startAttempt(target.endpoint);
    const std::optional<net::address> address = m_endpoints.find(target.endpoint);
    if (!address) {
        result.outcome = request_outcome::notSent;
        result.why = {base::error_kind::endpointRefused, "the address of " + target.endpoint.value() + " is not known"};
        co_return result;
    }
    const forwarding_plan &plan = request->plan;
    net::http_send_options options;
    options.deadline = plan.facts.deadline;
    options.freshConnection = needsFreshConnection;
    options.answerTimeout = std::max(plan.facts.deadline - base::clock::now(), base::milliseconds(1));
    options.connectTimeout = std::min(options.connectTimeout, options.answerTimeout);
    if (plan.hasStrictStatus) {
        options.connectTimeout = std::min(options.connectTimeout, maxConnectTimeout);
        options.maxIdleTime = plan.facts.repeatable ? options.maxIdleTime : maxIdleForNonRepeatable;
    }
    if (plan.silenceTimeout > base::milliseconds(0) && !isLast) {
        options.answerTimeout = std::min(options.answerTimeout, plan.silenceTimeout);
        options.keepWaiting = [this, weak = std::weak_ptr(request), endpoint = target.endpoint] {
            const std::shared_ptr<forwarded_request> waiting = weak.lock();
            return waiting && !(isAbandonable(*waiting, endpoint) && waiting->admitted.allowsRetry());
        };
    }
    const endpoint_protocol &protocol = plan.protocol ? *plan.protocol : m_nativeProtocol;
    net::http_request forwarded = protocol.prepare(request->exchange->request(), plan, target.endpoint, request->events.lastEvent());
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
    co_return co_await forwardResponse(request, std::move(target), answer);
}

bool forwarder::isAbandonable(const forwarded_request &request, const base::endpoint_id &endpoint) const
{
    return request.plan.resumable ? m_silence->isSilent(endpoint, request.plan.silenceTimeout) : !request.hasFirstByte();
}

} // namespace chervilbend::node
