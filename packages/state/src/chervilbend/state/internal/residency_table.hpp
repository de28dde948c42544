#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/internal/record_context.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

#include <map>
#include <vector>

namespace chervilbend::state
{

/// The engines' endpoints and the items that occupy their memory. The caller checks the fencing tokens.
class residency_table
{
public:
    /// Items of an endpoint that left the host list are retained. When the endpoint returns, its engine may have been running all the
    /// time, so the items count as dropping until the endpoint's owner has observed them as unloaded.
    bool apply(const endpoint_entry &endpoint, const record_context &context);
    bool apply(const assign_entry &assign, const record_context &context);
    bool apply(const loaded_entry &loaded, const record_context &context);
    /// Set @p mayDropLastCopy for an item that is no longer declared.
    bool apply(const drop_entry &drop, bool mayDropLastCopy, const record_context &context);
    bool apply(const released_entry &released);

    /// Quarantines the items of @p endpoint, because load commands of its former owner may still be in flight. Has no effect if the
    /// endpoint checks fencing tokens.
    void quarantine(const base::endpoint_id &endpoint, const quarantine_view &formerOwner);
    /// Lifts the quarantines for incarnations of @p node below @p incarnation.
    void liftQuarantinesBelow(const base::node_id &node, base::incarnation incarnation);
    /// Lifts the quarantines for the sender of the heartbeat if it has applied the loss of the lease and has no commands in flight.
    void liftQuarantines(const heartbeat_entry &heartbeat);

    /// Removes the endpoints that left the host list more than 24 h ago and returns their ids.
    std::vector<base::endpoint_id> removeExpiredEndpoints(base::milliseconds now);

    const std::map<base::endpoint_id, endpoint_view> &endpoints() const;
    bool isLoadedElsewhere(const base::item_id &item, const base::endpoint_id &endpoint) const;

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    struct departed_endpoint {
        endpoint_view view;
        base::milliseconds since{0};
    };

    residency_view *find(const base::endpoint_id &endpoint, const base::item_id &item);
    /// Removes the quarantines that satisfy @p canLift, including those at departed endpoints.
    template<typename Condition>
    void liftQuarantines(Condition canLift);

    std::map<base::endpoint_id, endpoint_view> m_endpoints;
    std::map<base::endpoint_id, departed_endpoint> m_departed;
    /// False only if no item is quarantined. Saves a scan of all items for each heartbeat.
    bool m_mayHaveQuarantine = false;
};

} // namespace chervilbend::state
