#include <chervilbend/control/internal/heartbeat_tracker.hpp>

#include <algorithm>

namespace chervilbend::control
{

void heartbeat_tracker::update(const state::replicated_state &state)
{
    const base::time_point now = base::clock::now();
    for (const auto &[node, heartbeat] : state.heartbeats()) {
        observation &known = m_heartbeats[node];
        if (known.record != heartbeat.record) {
            known = {heartbeat.incarnation, heartbeat.record, now};
        }
    }
    for (const auto &[name, lease] : state.leases()) {
        observation &known = m_leases[name];
        if (known.record != lease.token) {
            known = {lease.incarnation, lease.token, now};
        }
    }
    std::erase_if(m_heartbeats, [&state](const auto &entry) { return !state.heartbeats().contains(entry.first); });
    std::erase_if(m_leases, [&state](const auto &entry) { return !state.leases().contains(entry.first); });
}

base::time_point heartbeat_tracker::lastSeenAt(const base::lease_name &name, const state::lease_view &lease) const
{
    base::time_point last = base::time_point::min();
    if (const auto known = m_leases.find(name); known != m_leases.end()) {
        last = known->second.firstRead;
    }
    const auto heartbeat = m_heartbeats.find(lease.holder);
    if (heartbeat != m_heartbeats.end() && heartbeat->second.incarnation == lease.incarnation) {
        last = std::max(last, heartbeat->second.firstRead);
    }
    return last;
}

base::incarnation heartbeat_tracker::recentIncarnation(const base::node_id &node, base::time_point since) const
{
    const auto heartbeat = m_heartbeats.find(node);
    return heartbeat != m_heartbeats.end() && heartbeat->second.firstRead > since ? heartbeat->second.incarnation : base::incarnation(0);
}

} // namespace chervilbend::control
