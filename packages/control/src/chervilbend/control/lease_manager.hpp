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

/// Takes, renews, hands over and gives up the leases of one node.
///
/// The term of all its leases ends a fixed time after it sent the last heartbeat that it has read back. Once it has ended, no late
/// heartbeat revives them: each has to be taken again, and the log decides between this node and another that takes it.
class lease_manager
{
public:
    /// All references must outlive the keeper.
    lease_manager(base::node_id self,
                  base::incarnation life,
                  const state::replicated_state &state,
                  const log_progress &progress,
                  entry_sink &sink,
                  lease_times times = {});

    /// Commands.

    /// Sends heartbeats and decides on all leases. Call every few hundred milliseconds. @p eligible are the nodes that may hold leases.
    void tick(const std::vector<base::node_id> &eligible);

    /// Calls tick() until cancelled, with the nodes that @p eligible gives.
    boost::asio::awaitable<void> run(std::function<std::vector<base::node_id>()> eligible);

    /// What the heartbeats say of commands on their way to engines whose lease this node has lost.
    void setOutstandingCommandsCheck(std::function<bool()> commandsOutstanding);

    /// Hands all leases over in one record and takes no more.
    void stop();

    /// Takes a held lease again, for a greater fencing token.
    void renewToken(const base::lease_name &name);

    /// Queries.

    /// Whether this node may act as the holder at this moment.
    bool holds(const base::lease_name &name) const;

    /// Whether the fold shows this life of the node as the holder, whatever the term: the token is the highest that is known.
    bool isHolderInFold(const base::lease_name &name) const;

    /// Whether this node may send commands to an engine that checks fencing tokens: as far as it knows, its token is the highest, and it
    /// has not given the lease up. Stays true after the end of the term.
    bool mayDrive(const base::lease_name &name) const;

    /// The fencing token of a lease that isHolderInFold().
    base::log_offset token(const base::lease_name &name) const;

    /// When holds() became true for the lease without a break.
    std::optional<base::time_point> heldSince(const base::lease_name &name) const;

    /// When the term of the leases ends if no heartbeat is read back.
    base::time_point termEnd() const
    {
        return m_termEnd;
    }

private:
    /// What this node knows of a lease that the fold shows as its own.
    struct holding {
        base::log_offset token;
        /// When the entry that gave it was sent, or first seen for a lease handed over to this node.
        base::time_point since;
        /// Set when this node has sent a hand-over or release of it.
        std::optional<base::time_point> givenUpAt;
    };

    void noteLapse();
    void readBackHeartbeat();
    void updateHoldings();
    void sendHeartbeat(const std::vector<base::node_id> &candidates);
    bool needsHeartbeat(const std::vector<base::node_id> &candidates) const;
    std::vector<base::lease_name> allLeases() const;
    void decide(const base::lease_name &name, const std::vector<base::node_id> &candidates, std::vector<state::entry> &takes);
    void decideOnOwn(const base::lease_name &name, const base::node_id &intended, std::vector<state::entry> &takes);
    /// How long the lease has been without a holder; no value while it has one.
    std::optional<base::milliseconds> freeFor(const base::lease_name &name, const state::lease_view *lease) const;
    base::milliseconds takeDelay(const base::lease_name &name, const std::vector<base::node_id> &candidates) const;
    void take(const base::lease_name &name, const char *why, std::vector<state::entry> &takes);
    bool canHold() const;
    const state::lease_view *find(const base::lease_name &name) const;

    base::node_id m_self;
    base::incarnation m_life;
    const state::replicated_state &m_state;
    const log_progress &m_progress;
    entry_sink &m_sink;
    lease_times m_times;
    std::function<bool()> m_commandsOutstanding = [] {
        return false;
    };
    heartbeat_tracker m_watch;
    bool m_stopping = false;

    /// Own heartbeats that are not read back yet: their wall-clock stamp and sending time.
    std::deque<std::pair<base::milliseconds, base::time_point>> m_sentHeartbeats;
    std::optional<base::time_point> m_heartbeatSentAt;
    base::milliseconds m_lastStamp{0};
    base::log_offset m_readBack;
    base::time_point m_termEnd = base::time_point::min();
    /// Leases that were given to this node before this have to be taken again.
    base::time_point m_lapsedAt = base::time_point::min();

    std::map<base::lease_name, holding> m_holdings;
    /// Takes that are not read back yet, by sending time.
    std::map<base::lease_name, base::time_point> m_pendingTakes;
    /// Since when a lease without a record or holder has been known.
    mutable std::map<base::lease_name, base::time_point> m_freeSince;
    std::optional<base::time_point> m_handedOverAt;
};

} // namespace chervilbend::control
