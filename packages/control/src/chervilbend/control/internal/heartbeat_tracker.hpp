#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <map>

namespace chervilbend::control
{

/// Tracks when this node first read the latest heartbeat of each node and the latest record of each lease, by the local clock.
class heartbeat_tracker
{
public:
    /// Records the arrival of heartbeats and lease records that are new in the replicated state.
    void update(const state::replicated_state &state);

    /// Time when the latest heartbeat or lease record of the lease's holder was first read; time_point::min() if there was none.
    base::time_point lastSeenAt(const base::lease_name &name, const state::lease_view &lease) const;

    /// The incarnation in the node's latest heartbeat if that was first read after @p since; 0 otherwise.
    base::incarnation recentIncarnation(const base::node_id &node, base::time_point since) const;

private:
    struct observation {
        base::incarnation incarnation;
        base::log_offset record;
        base::time_point firstRead;
    };

    std::map<base::node_id, observation> m_heartbeats;
    std::map<base::lease_name, observation> m_leases;
};

} // namespace chervilbend::control
