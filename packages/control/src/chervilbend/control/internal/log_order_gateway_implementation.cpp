#include <chervilbend/control/internal/log_order_gateway_implementation.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/control/idempotency_key.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

namespace
{

using base::error_kind;
using base::run_state;

/// Maximum lead of a key's creation time over the local clock. Less than the time for which the replicated state keeps keys beyond their lifetime.
constexpr base::milliseconds maxClockLead{5 * 60'000};
/// How long to watch for the late effect of an unanswered append. Claims that appear later remain open, which is safe.
constexpr base::milliseconds abandonedClaimWatchTime{10 * 60'000};
/// Maximum wait for the outcome "not run" to be recorded in the log, so that the caller's next attempt usually finds the key free.
constexpr base::milliseconds outcomeRecordTimeout{1'000};
constexpr base::milliseconds initialOutcomeBackoff{200};
constexpr base::milliseconds maxOutcomeBackoff{5'000};

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr instance = base::partLogger("claim");
    return instance;
}

order_answer answerWithoutResponse(run_state state, error_kind kind, std::string detail)
{
    order_answer answer;
    answer.state = state;
    answer.kind = kind;
    answer.detail = std::move(detail);
    return answer;
}

/// Answer for an attempt that did not run and never will. Whether the order ran is known only if this was the first attempt.
order_answer attemptNotRun(const order_attempt &attempt, error_kind kind, std::string detail)
{
    if (attempt.order.firstAttempt) {
        return answerWithoutResponse(run_state::notRun, kind, std::move(detail));
    }
    return answerWithoutResponse(run_state::unknown, kind, detail + "; an earlier attempt may have run");
}

bool wasRefused(const append_response &answer)
{
    return answer && answer->status == external::append_status::refused;
}

order_answer replay(const state::claim_view &claim)
{
    order_answer answer;
    answer.state = *claim.outcome;
    answer.httpStatus = claim.httpStatus;
    answer.contentType = claim.contentType;
    answer.body = claim.body;
    answer.kind = error_kind::outcomeUnknown;
    answer.detail = answer.state == run_state::unknown ? "the outcome of an earlier attempt is unknown" : "recorded answer of an earlier attempt";
    answer.replayed = true;
    return answer;
}

} // namespace

log_order_gateway::implementation::implementation(asio::any_io_executor executor, options settings, log_appender &appender, log_follower &follower)
    : m_executor(std::move(executor))
    , m_options(std::move(settings))
    , m_appender(appender)
    , m_follower(follower)
{
}

std::size_t log_order_gateway::implementation::unrecordedOutcomes() const
{
    return m_unrecordedOutcomes;
}

void log_order_gateway::implementation::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(m_executor, std::move(task), asio::detached);
}

log_order_gateway::implementation::attempt_pointer log_order_gateway::implementation::createAttempt(order_request order)
{
    auto attempt = std::make_shared<order_attempt>();
    attempt->order = std::move(order);
    attempt->keyHash = orderKeyHash(attempt->order);
    attempt->bodyHash = base::hash128Hex(attempt->order.body);
    attempt->claimId = m_options.node.value() + '-' + std::to_string(m_options.incarnation.count()) + '-' + std::to_string(++m_lastClaimNumber);
    attempt->base = m_follower.state().claimBase(attempt->keyHash);
    attempt->arrivedAt = base::clock::wallNow();
    return attempt;
}

bool log_order_gateway::implementation::isKeyTimeOutOfRange(const order_request &order) const
{
    const std::optional<base::milliseconds> created = creationTime(order.idempotencyKey);
    const base::milliseconds local = base::clock::wallNow();
    // Considers the time in the records as well, so that a node with a slow clock does not accept keys that the replicated state has expired.
    const base::milliseconds now = std::max(local, m_follower.state().recordTime());
    return created && (*created + m_options.keyLifetime <= now || *created > local + maxClockLead);
}

state::claim_entry log_order_gateway::implementation::claimOf(const order_attempt &attempt, std::string claimId, base::log_offset base) const
{
    state::claim_entry claim;
    claim.keyHash = attempt.keyHash;
    claim.bodyHash = attempt.bodyHash;
    claim.node = m_options.node;
    claim.incarnation = m_options.incarnation;
    claim.claimId = std::move(claimId);
    claim.claimedAt = base::clock::wallNow();
    claim.base = base;
    claim.lifetime = m_options.keyLifetime;
    return claim;
}

const state::claim_view *log_order_gateway::implementation::claim(const order_attempt &attempt) const
{
    return m_follower.state().claim(attempt.keyHash);
}

bool log_order_gateway::implementation::ownsClaim(const order_attempt &attempt) const
{
    const state::claim_view *current = claim(attempt);
    return current && current->claimId == attempt.claimId && !current->outcome;
}

bool log_order_gateway::implementation::hasEnded(const state::claim_view &claim) const
{
    const bool isFormerSelf = claim.node == m_options.node && claim.incarnation < m_options.incarnation;
    return isFormerSelf || m_follower.state().hasEnded(claim.node, claim.incarnation)
        || (m_options.hasEnded && m_options.hasEnded(claim.node, claim.incarnation));
}

asio::awaitable<order_answer> log_order_gateway::implementation::run(order_request order, dispatch_order dispatch)
{
    const auto self = shared_from_this();
    if (order.callerHasLeft && order.callerHasLeft()) {
        co_return answerWithoutResponse(run_state::unknown, error_kind::outcomeUnknown, "the caller disconnected before the order started");
    }
    if (isKeyTimeOutOfRange(order)) {
        co_return answerWithoutResponse(
            run_state::unknown, error_kind::idempotencyKeyExpired, "the time in the idempotency key is too far from the current time");
    }
    const attempt_pointer attempt = createAttempt(std::move(order));
    if (claim(*attempt)) {
        co_return co_await awaitClaimOutcome(attempt);
    }
    if (!m_follower.isReachable()) {
        co_return attemptNotRun(*attempt, error_kind::logUnavailable, "the key cannot be claimed while the log is unavailable");
    }
    std::optional<order_answer> refused = co_await acquireClaim(attempt);
    if (refused) {
        co_return std::move(*refused);
    }
    if (!ownsClaim(*attempt)) {
        if (claim(*attempt)) {
            co_return co_await awaitClaimOutcome(attempt);
        }
        co_return co_await confirmNotRun(attempt);
    }
    co_return co_await runClaimed(attempt, std::move(dispatch));
}

asio::awaitable<std::optional<order_answer>> log_order_gateway::implementation::acquireClaim(attempt_pointer attempt)
{
    std::vector<state::entry> entries;
    entries.emplace_back(claimOf(*attempt, attempt->claimId, attempt->base));
    spawn(append(std::move(entries), attempt->appended, shared_from_this()));
    while (!claim(*attempt) && m_follower.state().claimBase(attempt->keyHash) == attempt->base) {
        std::optional<order_answer> refused = claimFailure(*attempt);
        if (refused) {
            if (!wasRefused(*attempt->appended)) {
                spawn(releaseAbandonedClaim(attempt, shared_from_this()));
            }
            co_return refused;
        }
        co_await m_follower.waitForChange(attempt->order.deadline);
    }
    co_return std::nullopt;
}

std::optional<order_answer> log_order_gateway::implementation::claimFailure(const order_attempt &attempt) const
{
    if (wasRefused(*attempt.appended)) {
        return attemptNotRun(attempt, error_kind::logUnavailable, "the log rejected the claim");
    }
    if (!m_follower.isReachable()) {
        return attemptNotRun(attempt, error_kind::logUnavailable, "the log became unreachable before the claim was read back");
    }
    if (base::clock::now() >= attempt.order.deadline) {
        return attemptNotRun(attempt, error_kind::deadlineUnmeetable, "the claim was not read back before the deadline");
    }
    return std::nullopt;
}

asio::awaitable<void>
    log_order_gateway::implementation::append(std::vector<state::entry> entries, std::shared_ptr<append_response> answer, std::shared_ptr<implementation> self)
{
    *answer = co_await self->m_appender.append(std::move(entries));
    self->m_follower.notify();
}

asio::awaitable<order_answer> log_order_gateway::implementation::runClaimed(attempt_pointer attempt, dispatch_order dispatch)
{
    // After a long pause of this process, its replicated state may be outdated and the key expired on the other nodes.
    if (base::clock::wallNow() - attempt->arrivedAt >= m_options.keyLifetime) {
        co_return answerWithoutResponse(run_state::unknown, error_kind::outcomeUnknown, "the key expired before the order was dispatched");
    }
    if (base::clock::now() >= attempt->order.deadline) {
        attempt->answer = answerWithoutResponse(run_state::notRun, error_kind::orderNotDispatched, "the deadline passed before the order was dispatched");
        spawn(recordOutcome(attempt, *attempt->answer, shared_from_this()));
        co_return *attempt->answer;
    }
    LOG4CXX_INFO(logger(), "Dispatching order " << attempt->keyHash << " under claim " << attempt->claimId << '.');
    spawn(dispatchClaimed(attempt, std::move(dispatch), shared_from_this()));
    while (!attempt->answer && base::clock::now() < attempt->order.deadline) {
        co_await m_follower.waitForChange(attempt->order.deadline);
    }
    if (!attempt->answer) {
        co_return answerWithoutResponse(run_state::unknown, error_kind::outcomeUnknown, "the order is still running");
    }
    const base::time_point until = std::min(attempt->order.deadline, base::clock::now() + outcomeRecordTimeout);
    while (attempt->answer->state == run_state::notRun && ownsClaim(*attempt) && m_follower.isReachable() && base::clock::now() < until) {
        co_await m_follower.waitForChange(until);
    }
    co_return *attempt->answer;
}

asio::awaitable<void> log_order_gateway::implementation::dispatchClaimed(attempt_pointer attempt, dispatch_order dispatch, std::shared_ptr<implementation> self)
{
    order_answer answer = answerWithoutResponse(run_state::unknown, error_kind::internal, "the dispatch failed");
    try {
        answer = co_await dispatch();
    } catch (const std::exception &error) {
        LOG4CXX_ERROR(logger(), "Dispatch of order " << attempt->keyHash << " failed: " << error.what());
    }
    LOG4CXX_INFO(logger(), "Order " << attempt->keyHash << " under claim " << attempt->claimId << ": " << base::toString(answer.state) << '.');
    attempt->answer = answer;
    self->spawn(self->recordOutcome(attempt, std::move(answer), self));
    self->m_follower.notify();
}

asio::awaitable<void> log_order_gateway::implementation::recordOutcome(attempt_pointer attempt, order_answer answer, std::shared_ptr<implementation> self)
{
    ++self->m_unrecordedOutcomes;
    if (answer.body.size() > state::maxRecordedBodyBytes) {
        answer.body.clear();
        answer.contentType.clear();
    }
    const base::time_point giveUpAt = base::clock::now() + self->m_options.keyLifetime;
    base::milliseconds backoff = initialOutcomeBackoff;
    while (self->ownsClaim(*attempt) && base::clock::now() < giveUpAt) {
        std::vector<state::entry> entries;
        entries.emplace_back(state::outcome_entry{attempt->keyHash, attempt->claimId, answer.state, answer.httpStatus, answer.contentType, answer.body});
        const external::append_result appended = co_await self->m_appender.append(std::move(entries));
        if (appended.status == external::append_status::accepted) {
            break;
        }
        co_await net::sleepFor(backoff);
        backoff = std::min(2 * backoff, maxOutcomeBackoff);
    }
    --self->m_unrecordedOutcomes;
}

asio::awaitable<void> log_order_gateway::implementation::releaseAbandonedClaim(attempt_pointer attempt, std::shared_ptr<implementation> self)
{
    const base::time_point until = base::clock::now() + abandonedClaimWatchTime;
    while (!self->claim(*attempt) && self->m_follower.state().claimBase(attempt->keyHash) == attempt->base && base::clock::now() < until) {
        co_await self->m_follower.waitForChange(until);
    }
    if (self->ownsClaim(*attempt)) {
        co_await self->recordOutcome(attempt, answerWithoutResponse(run_state::notRun, error_kind::orderNotDispatched, "abandoned"), self);
    }
}

asio::awaitable<order_answer> log_order_gateway::implementation::awaitClaimOutcome(attempt_pointer attempt)
{
    while (const state::claim_view *current = claim(*attempt)) {
        if (current->bodyHash != attempt->bodyHash) {
            co_return answerWithoutResponse(
                run_state::notRun, error_kind::idempotencyKeyReused, "the idempotency key was used for an order with a different body");
        }
        if (current->outcome) {
            co_return replay(*current);
        }
        if (hasEnded(*current)) {
            co_return answerWithoutResponse(run_state::unknown, error_kind::outcomeUnknown, "the node that claimed the order has stopped");
        }
        if (!m_follower.isReachable()) {
            co_return answerWithoutResponse(run_state::unknown, error_kind::logUnavailable, "another attempt holds the claim");
        }
        if (base::clock::now() >= attempt->order.deadline) {
            co_return answerWithoutResponse(run_state::unknown, error_kind::outcomeUnknown, "another attempt did not finish before the deadline");
        }
        co_await m_follower.waitForChange(attempt->order.deadline);
    }
    co_return co_await confirmNotRun(attempt);
}

asio::awaitable<order_answer> log_order_gateway::implementation::confirmNotRun(attempt_pointer attempt)
{
    const std::string claimId = attempt->claimId + "-confirm";
    std::vector<state::entry> entries;
    entries.emplace_back(claimOf(*attempt, claimId, m_follower.state().claimBase(attempt->keyHash)));
    entries.emplace_back(state::outcome_entry{attempt->keyHash, claimId, run_state::notRun, 0, "", ""});
    const external::append_result appended = co_await m_appender.append(std::move(entries));
    const bool isApplied =
        appended.status == external::append_status::accepted && co_await m_follower.waitUntilApplied(appended.offset, attempt->order.deadline);
    if (isApplied && !claim(*attempt) && m_follower.state().claimBase(attempt->keyHash) == appended.offset) {
        co_return answerWithoutResponse(run_state::notRun, error_kind::orderNotDispatched, "an earlier attempt with this key was not dispatched");
    }
    co_return answerWithoutResponse(run_state::unknown, error_kind::outcomeUnknown, "other attempts with this key are in progress");
}

} // namespace chervilbend::control
