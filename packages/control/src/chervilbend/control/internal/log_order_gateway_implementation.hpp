#pragma once

#include <chervilbend/control/internal/order_attempt.hpp>
#include <chervilbend/control/log_order_gateway.hpp>
#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/views.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::control
{

/// Implements the tasks of the gateway. Detached tasks hold a reference to it, so that it outlives them.
class log_order_gateway::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using attempt_pointer = std::shared_ptr<order_attempt>;

    implementation(boost::asio::any_io_executor executor, options settings, log_appender &appender, log_follower &follower);

    boost::asio::awaitable<order_answer> run(order_request order, dispatch_order dispatch);
    std::size_t unrecordedOutcomes() const;

private:
    attempt_pointer createAttempt(order_request order);
    bool isKeyTimeOutOfRange(const order_request &order) const;
    state::claim_entry claimOf(const order_attempt &attempt, std::string claimId, base::log_offset base) const;
    const state::claim_view *claim(const order_attempt &attempt) const;
    bool ownsClaim(const order_attempt &attempt) const;
    bool hasEnded(const state::claim_view &claim) const;

    /// Appends the claim and waits until the replicated state shows which attempt owns the key or that it was freed. Returns an answer
    /// if the attempt fails before that.
    boost::asio::awaitable<std::optional<order_answer>> acquireClaim(attempt_pointer attempt);
    /// Returns the answer if the attempt can no longer acquire the claim; no value while it still can.
    std::optional<order_answer> claimFailure(const order_attempt &attempt) const;
    boost::asio::awaitable<order_answer> runClaimed(attempt_pointer attempt, dispatch_order dispatch);
    /// Waits for the outcome of the claim of another attempt.
    boost::asio::awaitable<order_answer> awaitClaimOutcome(attempt_pointer attempt);
    /// Confirms "not run" for a free key: claims and frees it in a single record, so that no earlier attempt can claim it any more.
    boost::asio::awaitable<order_answer> confirmNotRun(attempt_pointer attempt);

    /// Detached tasks.
    boost::asio::awaitable<void> append(std::vector<state::entry> entries, std::shared_ptr<append_response> answer, std::shared_ptr<implementation> self);
    boost::asio::awaitable<void> dispatchClaimed(attempt_pointer attempt, dispatch_order dispatch, std::shared_ptr<implementation> self);
    boost::asio::awaitable<void> recordOutcome(attempt_pointer attempt, order_answer answer, std::shared_ptr<implementation> self);
    /// Releases the claim if it appears in the log after the attempt was answered.
    boost::asio::awaitable<void> releaseAbandonedClaim(attempt_pointer attempt, std::shared_ptr<implementation> self);

    void spawn(boost::asio::awaitable<void> task);

    boost::asio::any_io_executor m_executor;
    options m_options;
    log_appender &m_appender;
    log_follower &m_follower;
    std::uint64_t m_lastClaimNumber = 0;
    std::size_t m_unrecordedOutcomes = 0;
};

} // namespace chervilbend::control
