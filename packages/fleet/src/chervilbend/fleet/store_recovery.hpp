#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace chervilbend::fleet
{

/// A task of a node that calls the store.
enum class store_task {
    configuration,
    endpoints,
    lease,
};

/// Lets only one of a node's tasks retry the store while it is unavailable. The others wait for that retry's success, so that an unavailable
/// store gets one call per node and backoff interval, and all tasks go on as soon as one of them reaches the store.
class store_recovery
{
public:
    /// To be called after a failed call. Waits for @p delay, or, while another task is about to retry, for the result of that retry. Returns
    /// early when any task has reached the store.
    boost::asio::awaitable<void> waitForRetry(store_task task, base::milliseconds delay);
    /// A call has succeeded.
    void noteSuccess();

private:
    net::change_signal m_reached;
    std::uint64_t m_successes = 0;
    /// The task that retries next, and until when the others wait for its result; no value if none does.
    struct pending_retry {
        store_task task;
        base::time_point resultBy;
    };
    std::optional<pending_retry> m_pending;
};

} // namespace chervilbend::fleet
