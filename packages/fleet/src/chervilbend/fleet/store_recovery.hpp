#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace chervilbend::fleet
{

/// A task of a node that calls the store.
enum class store_task {
    configuration,
    endpoints,
    lease,
};

/// Lets only one of a node's tasks at a time retry the store while it is unavailable. The others wait for that retry's result, so that an
/// unavailable store gets one call per node and backoff interval, and all tasks go on as soon as one of them reaches the store.
///
/// The tasks retry in turns: one whose calls fail for a reason of their own does not keep the others from a store that answers them.
class store_recovery
{
public:
    /// To be called after a failed call. Waits until no other task is about to retry or has waited longer, and then for @p delay. Returns early
    /// when any task has reached the store.
    boost::asio::awaitable<void> waitForRetry(store_task task, base::milliseconds delay);
    /// A call has succeeded.
    void noteSuccess();

private:
    using ticket = std::uint64_t;

    bool isTurnOf(ticket waiting) const;

    /// Notified when a task has reached the store and when the next one may retry.
    net::change_signal m_changed;
    std::uint64_t m_successes = 0;
    /// The task that retries next, and until when the others wait for its result; no value if none does.
    struct pending_retry {
        store_task task;
        base::time_point resultBy;
    };
    std::optional<pending_retry> m_pending;
    /// The tasks that wait for their turn, in the order of their failures. Shared with them, because the event loop may destroy them later.
    std::shared_ptr<std::set<ticket>> m_waiting = std::make_shared<std::set<ticket>>();
    ticket m_lastTicket = 0;
};

} // namespace chervilbend::fleet
