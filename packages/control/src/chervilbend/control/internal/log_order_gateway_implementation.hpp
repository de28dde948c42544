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

/// The tasks of the gateway. Detached ones keep it alive.
class log_order_gateway::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using attempt_pointer = std::shared_ptr<order_attempt>;

    implementation(boost::asio::any_io_executor executor, options settings, log_appender &appender, log_follower &follower);

    boost::asio::awaitable<order_answer> run(order_request order, dispatch_order dispatch);
    std::size_t openOutcomes() const;

private:
    attempt_pointer begin(order_request order);
    bool isKeyOutdated(const order_request &order) const;
    state::claim_entry claimOf(const order_attempt &attempt, std::string claimId, base::log_offset base) const;
    const state::claim_view *claim(const order_attempt &attempt) const;
    bool ownsClaim(const order_attempt &attempt) const;
    bool hasEnded(const state::claim_view &claim) const;

    /// Appends the claim and waits until the fold shows whose it is. No value when it is the attempt's own.
    boost::asio::awaitable<std::optional<order_answer>> takeClaim(attempt_pointer attempt);
    /// Why the attempt cannot get the claim any more; no value while it may.
    std::optional<order_answer> whyNoClaim(const order_attempt &attempt) const;
    boost::asio::awaitable<order_answer> runClaimed(attempt_pointer attempt, dispatch_order dispatch);
    /// Waits for the outcome of another attempt's claim.
    boost::asio::awaitable<order_answer> followClaim(attempt_pointer attempt);
    /// Makes "not run" certain for a key that is free: claims and frees it in one record, so that no attempt from before can claim it.
    boost::asio::awaitable<order_answer> confirmNotRun(attempt_pointer attempt);

    /// Detached tasks.
    boost::asio::awaitable<void> append(std::vector<state::entry> entries, std::shared_ptr<append_answer> answer, std::shared_ptr<implementation> self);
    boost::asio::awaitable<void> dispatchClaimed(attempt_pointer attempt, dispatch_order dispatch, std::shared_ptr<implementation> self);
    boost::asio::awaitable<void> recordOutcome(attempt_pointer attempt, order_answer answer, std::shared_ptr<implementation> self);
    /// Frees the claim when it shows up in the log after the attempt was answered.
    boost::asio::awaitable<void> freeAbandoned(attempt_pointer attempt, std::shared_ptr<implementation> self);

    void spawn(boost::asio::awaitable<void> task);

    boost::asio::any_io_executor m_executor;
    options m_options;
    log_appender &m_appender;
    log_follower &m_follower;
    std::uint64_t m_lastClaim = 0;
    std::size_t m_openOutcomes = 0;
};

} // namespace chervilbend::control
