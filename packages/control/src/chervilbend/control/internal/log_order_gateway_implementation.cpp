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

/// How far a key's time may lie ahead of this node's clock. Less than the time that the fold keeps keys beyond their life.
constexpr base::milliseconds longestClockLead{5 * 60'000};
/// How long an append without an answer may still take effect; claims that show up later stay open, which is safe.
constexpr base::milliseconds abandonedWatched{10 * 60'000};
/// Until then the log has the outcome "not run" as a rule, so that the caller's next attempt finds the key free.
constexpr base::milliseconds outcomeAwaited{1'000};
constexpr base::milliseconds firstOutcomePause{200};
constexpr base::milliseconds longestOutcomePause{5'000};

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr part = base::partLogger("claim");
    return part;
}

order_answer without(run_state state, error_kind kind, std::string detail)
{
    order_answer answer;
    answer.state = state;
    answer.kind = kind;
    answer.detail = std::move(detail);
    return answer;
}

/// The attempt did not run and never will; whether the order did is only certain when there was no attempt before.
order_answer attemptNotRun(const order_attempt &attempt, error_kind kind, std::string detail)
{
    if (attempt.order.firstAttempt) {
        return without(run_state::notRun, kind, std::move(detail));
    }
    return without(run_state::unknown, kind, detail + "; an earlier attempt may have run");
}

bool wasRefused(const append_answer &answer)
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
    answer.detail = answer.state == run_state::unknown ? "the outcome of an earlier attempt is not known" : "recorded answer of an earlier attempt";
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

std::size_t log_order_gateway::implementation::openOutcomes() const
{
    return m_openOutcomes;
}

void log_order_gateway::implementation::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(m_executor, std::move(task), asio::detached);
}

log_order_gateway::implementation::attempt_pointer log_order_gateway::implementation::begin(order_request order)
{
    auto attempt = std::make_shared<order_attempt>();
    attempt->order = std::move(order);
    attempt->keyHash = orderKeyHash(attempt->order);
    attempt->bodyHash = base::hash128Hex(attempt->order.body);
    attempt->claimId = m_options.node.value() + '-' + std::to_string(m_options.incarnation.count()) + '-' + std::to_string(++m_lastClaim);
    attempt->base = m_follower.state().claimBase(attempt->keyHash);
    attempt->arrivedAt = base::clock::wallNow();
    return attempt;
}

bool log_order_gateway::implementation::isKeyOutdated(const order_request &order) const
{
    const std::optional<base::milliseconds> created = creationTime(order.idempotencyKey);
    const base::milliseconds local = base::clock::wallNow();
    // The time in the records, too, so that a node whose clock is behind does not take keys that the fold has forgotten.
    const base::milliseconds now = std::max(local, m_follower.state().recordTime());
    return created && (*created + m_options.keyLifetime <= now || *created > local + longestClockLead);
}

state::claim_entry log_order_gateway::implementation::claimOf(const order_attempt &attempt, std::string claimId, base::log_offset base) const
{
    state::claim_entry claim;
    claim.keyHash = attempt.keyHash;
    claim.bodyHash = attempt.bodyHash;
    claim.node = m_options.node;
    claim.life = m_options.incarnation;
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
    const bool isFormerSelf = claim.node == m_options.node && claim.life < m_options.incarnation;
    return isFormerSelf || m_follower.state().hasEnded(claim.node, claim.life) || (m_options.hasEnded && m_options.hasEnded(claim.node, claim.life));
}

asio::awaitable<order_answer> log_order_gateway::implementation::run(order_request order, dispatch_order dispatch)
{
    const auto self = shared_from_this();
    if (order.callerHasLeft && order.callerHasLeft()) {
        co_return without(run_state::unknown, error_kind::outcomeUnknown, "the caller left before the order started");
    }
    if (isKeyOutdated(order)) {
        co_return without(run_state::unknown, error_kind::idempotencyKeyExpired, "the time in the key is too far from the present");
    }
    const attempt_pointer attempt = begin(std::move(order));
    if (claim(*attempt)) {
        co_return co_await followClaim(attempt);
    }
    if (!m_follower.isReachable()) {
        co_return attemptNotRun(*attempt, error_kind::logUnavailable, "no claim without the log");
    }
    std::optional<order_answer> refused = co_await takeClaim(attempt);
    if (refused) {
        co_return std::move(*refused);
    }
    if (!ownsClaim(*attempt)) {
        if (claim(*attempt)) {
            co_return co_await followClaim(attempt);
        }
        co_return co_await confirmNotRun(attempt);
    }
    co_return co_await runClaimed(attempt, std::move(dispatch));
}

asio::awaitable<std::optional<order_answer>> log_order_gateway::implementation::takeClaim(attempt_pointer attempt)
{
    std::vector<state::entry> entries;
    entries.emplace_back(claimOf(*attempt, attempt->claimId, attempt->base));
    spawn(append(std::move(entries), attempt->appended, shared_from_this()));
    while (!claim(*attempt) && m_follower.state().claimBase(attempt->keyHash) == attempt->base) {
        std::optional<order_answer> refused = whyNoClaim(*attempt);
        if (refused) {
            if (!wasRefused(*attempt->appended)) {
                spawn(freeAbandoned(attempt, shared_from_this()));
            }
            co_return refused;
        }
        co_await m_follower.waitForChange(attempt->order.deadline);
    }
    co_return std::nullopt;
}

std::optional<order_answer> log_order_gateway::implementation::whyNoClaim(const order_attempt &attempt) const
{
    if (wasRefused(*attempt.appended)) {
        return attemptNotRun(attempt, error_kind::logUnavailable, "the log refused the claim");
    }
    if (!m_follower.isReachable()) {
        return attemptNotRun(attempt, error_kind::logUnavailable, "the log became unreachable before the claim was read back");
    }
    if (base::clock::now() >= attempt.order.deadline) {
        return attemptNotRun(attempt, error_kind::deadlineUnmeetable, "the claim was not read back in time");
    }
    return std::nullopt;
}

asio::awaitable<void>
    log_order_gateway::implementation::append(std::vector<state::entry> entries, std::shared_ptr<append_answer> answer, std::shared_ptr<implementation> self)
{
    *answer = co_await self->m_appender.append(std::move(entries));
    self->m_follower.notify();
}

asio::awaitable<order_answer> log_order_gateway::implementation::runClaimed(attempt_pointer attempt, dispatch_order dispatch)
{
    // After a long pause the fold may be behind, and the key forgotten by the other nodes.
    if (base::clock::wallNow() - attempt->arrivedAt >= m_options.keyLifetime) {
        co_return without(run_state::unknown, error_kind::outcomeUnknown, "the key expired before the order was dispatched");
    }
    if (base::clock::now() >= attempt->order.deadline) {
        attempt->answer = without(run_state::notRun, error_kind::orderNotDispatched, "the deadline passed before the order was dispatched");
        spawn(recordOutcome(attempt, *attempt->answer, shared_from_this()));
        co_return *attempt->answer;
    }
    LOG4CXX_INFO(logger(), "Order " << attempt->keyHash << " is dispatched under claim " << attempt->claimId << '.');
    spawn(dispatchClaimed(attempt, std::move(dispatch), shared_from_this()));
    while (!attempt->answer && base::clock::now() < attempt->order.deadline) {
        co_await m_follower.waitForChange(attempt->order.deadline);
    }
    if (!attempt->answer) {
        co_return without(run_state::unknown, error_kind::outcomeUnknown, "the order is still running");
    }
    const base::time_point until = std::min(attempt->order.deadline, base::clock::now() + outcomeAwaited);
    while (attempt->answer->state == run_state::notRun && ownsClaim(*attempt) && m_follower.isReachable() && base::clock::now() < until) {
        co_await m_follower.waitForChange(until);
    }
    co_return *attempt->answer;
}

asio::awaitable<void> log_order_gateway::implementation::dispatchClaimed(attempt_pointer attempt, dispatch_order dispatch, std::shared_ptr<implementation> self)
{
    order_answer answer = without(run_state::unknown, error_kind::internal, "the dispatch failed");
    try {
        answer = co_await dispatch();
    } catch (const std::exception &error) {
        LOG4CXX_ERROR(logger(), "Order " << attempt->keyHash << " failed in dispatch: " << error.what());
    }
    LOG4CXX_INFO(logger(), "Order " << attempt->keyHash << " under claim " << attempt->claimId << ": " << base::toString(answer.state) << '.');
    attempt->answer = answer;
    self->spawn(self->recordOutcome(attempt, std::move(answer), self));
    self->m_follower.notify();
}

asio::awaitable<void> log_order_gateway::implementation::recordOutcome(attempt_pointer attempt, order_answer answer, std::shared_ptr<implementation> self)
{
    ++self->m_openOutcomes;
    if (answer.body.size() > state::longestRecordedBody) {
        answer.body.clear();
        answer.contentType.clear();
    }
    const base::time_point giveUp = base::clock::now() + self->m_options.keyLifetime;
    base::milliseconds pause = firstOutcomePause;
    while (self->ownsClaim(*attempt) && base::clock::now() < giveUp) {
        std::vector<state::entry> entries;
        entries.emplace_back(state::outcome_entry{attempt->keyHash, attempt->claimId, answer.state, answer.httpStatus, answer.contentType, answer.body});
        const external::append_result appended = co_await self->m_appender.append(std::move(entries));
        if (appended.status == external::append_status::accepted) {
            break;
        }
        co_await net::sleepFor(pause);
        pause = std::min(2 * pause, longestOutcomePause);
    }
    --self->m_openOutcomes;
}

asio::awaitable<void> log_order_gateway::implementation::freeAbandoned(attempt_pointer attempt, std::shared_ptr<implementation> self)
{
    const base::time_point until = base::clock::now() + abandonedWatched;
    while (!self->claim(*attempt) && self->m_follower.state().claimBase(attempt->keyHash) == attempt->base && base::clock::now() < until) {
        co_await self->m_follower.waitForChange(until);
    }
    if (self->ownsClaim(*attempt)) {
        co_await self->recordOutcome(attempt, without(run_state::notRun, error_kind::orderNotDispatched, "abandoned"), self);
    }
}

asio::awaitable<order_answer> log_order_gateway::implementation::followClaim(attempt_pointer attempt)
{
    while (const state::claim_view *current = claim(*attempt)) {
        if (current->bodyHash != attempt->bodyHash) {
            co_return without(run_state::notRun, error_kind::idempotencyKeyReused, "the key belongs to an order with another body");
        }
        if (current->outcome) {
            co_return replay(*current);
        }
        if (hasEnded(*current)) {
            co_return without(run_state::unknown, error_kind::outcomeUnknown, "the node that took the order has ended");
        }
        if (!m_follower.isReachable()) {
            co_return without(run_state::unknown, error_kind::logUnavailable, "another attempt holds the claim");
        }
        if (base::clock::now() >= attempt->order.deadline) {
            co_return without(run_state::unknown, error_kind::outcomeUnknown, "another attempt has not finished in time");
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
    const bool isFolded = appended.status == external::append_status::accepted && co_await m_follower.foldedBeyond(appended.offset, attempt->order.deadline);
    if (isFolded && !claim(*attempt) && m_follower.state().claimBase(attempt->keyHash) == appended.offset) {
        co_return without(run_state::notRun, error_kind::orderNotDispatched, "an earlier attempt with this key was not dispatched");
    }
    co_return without(run_state::unknown, error_kind::outcomeUnknown, "other attempts with this key are under way");
}

} // namespace chervilbend::control
