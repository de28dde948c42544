#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/internal/lost_lease.hpp>
#include <chervilbend/state/internal/record_context.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

#include <map>
#include <optional>

namespace chervilbend::state
{

/// Leases, heartbeats, and the node incarnations that are known to have ended.
class lease_table
{
public:
    struct result {
        bool accepted = false;
        /// The previous holder, if there was one and it is no longer the holder.
        std::optional<lost_lease> lost;
    };

    result apply(const lease_entry &lease, const record_context &context);
    /// Returns false for a heartbeat of an incarnation that is known to have ended.
    bool apply(const heartbeat_entry &heartbeat, const record_context &context);
    void apply(const incarnation_ended_entry &ended, const record_context &context);

    const std::map<base::lease_name, lease_view> &leases() const;
    const std::map<base::node_id, heartbeat_view> &heartbeats() const;
    /// The current holder's fencing token; 0 if the lease is free or unknown.
    base::log_offset token(const base::lease_name &name) const;
    /// Whether a newer incarnation of the node was seen, or this incarnation was reported as ended.
    bool hasEnded(const base::node_id &node, base::incarnation incarnation) const;

    /// Removes a lease whose resource no longer exists.
    void remove(const base::lease_name &name);

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    struct ended_incarnations {
        /// All incarnations below this one have ended.
        base::incarnation firstLive;
        base::milliseconds time{0};
    };

    void endIncarnationsBelow(const base::node_id &node, base::incarnation incarnation, const record_context &context);
    void removeSilentNodes(base::milliseconds now);

    std::map<base::lease_name, lease_view> m_leases;
    std::map<base::node_id, heartbeat_view> m_heartbeats;
    std::map<base::node_id, ended_incarnations> m_endedIncarnations;
};

} // namespace chervilbend::state
