#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/internal/heartbeat_tracker.hpp>
#include <chervilbend/control/lease_times.hpp>
#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chervilbend::control
{

class entry_sink;
class log_progress;

/// Acquires, renews, hands over and releases the leases of one node.
///
/// The term of all its leases ends a fixed time after the node sent the last heartbeat that it has read back from the log. A late heartbeat
/// does not restore an expired term: each lease must be taken again, and the order in the log decides between competing nodes.
class lease_manager
{
public:
    /// All references must outlive the manager.
    lease_manager(base::node_id self,
                  base::incarnation incarnation,
                  const state::replicated_state &state,
                  const log_progress &progress,
                  entry_sink &sink,
                  lease_times times = {});

    /// Commands.

    /// Sends heartbeats and updates all leases. To be called every few hundred milliseconds. @p eligible are the nodes that may hold leases.
    void tick(const std::vector<base::node_id> &eligible);

    /// Calls tick() with the nodes returned by @p eligible until cancelled.
    boost::asio::awaitable<void> run(std::function<std::vector<base::node_id>()> eligible);

    /// Sets the function that returns whether commands are outstanding to engines whose lease this node has lost. Heartbeats carry its result.
    void setOutstandingCommandsCheck(std::function<bool()> commandsOutstanding);

    /// Hands over all leases in a single record and stops taking new ones.
    void stop();

    /// Takes a held lease again to obtain a greater fencing token.
    void renewToken(const base::lease_name &name);

    /// Queries.

    /// Whether this node may currently act as the holder.
    bool holds(const base::lease_name &name) const;

    /// Whether the replicated state lists this incarnation of the node as the holder, even if its term has expired: its token is the highest known.
    bool isRecordedHolder(const base::lease_name &name) const;

    /// Whether this node may send commands to an engine that checks fencing tokens: its token is the highest it knows, and it has not
    /// relinquished the lease. Remains true after the end of the term.
    bool mayCommandFencedEngine(const base::lease_name &name) const;

    /// The fencing token of a lease for which isRecordedHolder() is true.
    base::log_offset token(const base::lease_name &name) const;

    /// Since when holds() has been continuously true for the lease; no value while it is false.
    std::optional<base::time_point> heldSince(const base::lease_name &name) const;

    /// When the term of the leases ends unless another heartbeat is read back.
    base::time_point termEnd() const
    {
        return m_termEnd;
    }

private:
    /// A lease of which this node is the holder according to the replicated state.
    struct held_lease {
        base::log_offset token;
        /// When the entry that took the lease was sent, or when a lease handed over to this node was first observed.
        base::time_point since;
        /// When this node appended a hand-over or release of the lease.
        std::optional<base::time_point> relinquishedAt;
    };

    void recordTermExpiry();
    void processReadBackHeartbeat();
    void updateHeldLeases();
    void sendHeartbeat(const std::vector<base::node_id> &candidates);
    bool needsHeartbeat(const std::vector<base::node_id> &candidates) const;
    std::vector<base::lease_name> allLeases() const;
    void evaluateLease(const base::lease_name &name, const std::vector<base::node_id> &candidates, std::vector<state::entry> &takeEntries);
    void evaluateHeldLease(const base::lease_name &name, const base::node_id &intended, std::vector<state::entry> &takeEntries);
    /// How long the lease has been vacant; no value while it has a holder.
    std::optional<base::milliseconds> vacantFor(const base::lease_name &name, const state::lease_view *lease) const;
    base::milliseconds takeDelay(const base::lease_name &name, const std::vector<base::node_id> &candidates) const;
    void take(const base::lease_name &name, const char *reason, std::vector<state::entry> &takeEntries);
    bool canHold() const;
    const state::lease_view *find(const base::lease_name &name) const;

    base::node_id m_self;
    base::incarnation m_incarnation;
    const state::replicated_state &m_state;
    const log_progress &m_progress;
    entry_sink &m_sink;
    lease_times m_times;
    std::function<bool()> m_commandsOutstanding = [] {
        return false;
    };
    heartbeat_tracker m_heartbeatTracker;
    bool m_stopping = false;

    /// Own heartbeats that have not been read back: wall-clock timestamp and time of sending.
    std::deque<std::pair<base::milliseconds, base::time_point>> m_sentHeartbeats;
    std::optional<base::time_point> m_heartbeatSentAt;
    base::milliseconds m_lastTimestamp{0};
    base::log_offset m_readBackOffset;
    base::time_point m_termEnd = base::time_point::min();
    /// When the term last expired. Leases acquired up to this time must be taken again.
    base::time_point m_termExpiredAt = base::time_point::min();

    std::map<base::lease_name, held_lease> m_heldLeases;
    /// Times at which take entries were sent that have not been read back.
    std::map<base::lease_name, base::time_point> m_pendingTakes;
    /// Since when a lease has been known to have no record or no holder.
    mutable std::map<base::lease_name, base::time_point> m_vacantSince;
    std::optional<base::time_point> m_handedOverAt;
};

} // namespace chervilbend::control
