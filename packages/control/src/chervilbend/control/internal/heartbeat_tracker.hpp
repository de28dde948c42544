#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <map>

namespace chervilbend::control
{

/// When this node first read the last heartbeat of each node and the last record of each lease, by its own clock.
class heartbeat_tracker
{
public:
    /// Notes what the fold has that was not there before.
    void update(const state::replicated_state &state);

    /// When the last sign of the lease's holder was first read; the minimum when it was never seen.
    base::time_point lastSign(const base::lease_name &name, const state::lease_view &lease) const;

    /// The life of the node's last heartbeat if it was first read after @p since; 0 otherwise.
    base::incarnation freshLife(const base::node_id &node, base::time_point since) const;

private:
    struct sign {
        base::incarnation life;
        base::log_offset record;
        base::time_point firstRead;
    };

    std::map<base::node_id, sign> m_heartbeats;
    std::map<base::lease_name, sign> m_leases;
};

} // namespace chervilbend::control
