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

/// Leases, heartbeats, and which lives of nodes are known to have ended.
class lease_table
{
public:
    struct result {
        bool accepted = false;
        /// The holder that lost the lease; no value when there was none or it stays the same.
        std::optional<lost_lease> lost;
    };

    result apply(const lease_entry &lease, const record_context &context);
    /// Returns false for a heartbeat of a life that is known to have ended.
    bool apply(const heartbeat_entry &heartbeat, const record_context &context);
    void apply(const incarnation_ended_entry &ended, const record_context &context);

    const std::map<base::lease_name, lease_view> &leases() const;
    const std::map<base::node_id, heartbeat_view> &heartbeats() const;
    /// The current holder's token; 0 when the lease is free or unknown.
    base::log_offset token(const base::lease_name &name) const;
    /// Whether a newer life of the node was seen, or this life was reported as ended.
    bool hasEnded(const base::node_id &node, base::incarnation incarnation) const;

    /// Forgets a lease whose subject no longer exists.
    void forget(const base::lease_name &name);

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    struct life_end {
        /// All lives below this one have ended.
        base::incarnation firstLiving;
        base::milliseconds time{0};
    };

    void endLivesBelow(const base::node_id &node, base::incarnation incarnation, const record_context &context);
    void forgetSilentNodes(base::milliseconds now);

    std::map<base::lease_name, lease_view> m_leases;
    std::map<base::node_id, heartbeat_view> m_heartbeats;
    std::map<base::node_id, life_end> m_ends;
};

} // namespace chervilbend::state
