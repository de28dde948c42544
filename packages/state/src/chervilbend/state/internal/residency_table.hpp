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

/// The engines' endpoints and what counts in their memory. Tokens are checked by the caller.
class residency_table
{
public:
    /// An endpoint that left the host list keeps what it held: when it comes back, its engine may never have stopped, so all of it
    /// counts as dropping until its owner has seen it unloaded.
    bool apply(const endpoint_entry &endpoint, const record_context &context);
    bool apply(const assign_entry &assign, const record_context &context);
    bool apply(const loaded_entry &loaded, const record_context &context);
    /// @p mayDropLastCopy for an item that is no longer declared.
    bool apply(const drop_entry &drop, bool mayDropLastCopy, const record_context &context);
    bool apply(const released_entry &released);

    /// The former owner of @p endpoint may have load commands on their way: quarantines what counts at an endpoint that does not check
    /// fencing tokens.
    void quarantine(const base::endpoint_id &endpoint, const quarantine_view &formerOwner);
    /// Lifts the quarantines for lives of @p node below @p life.
    void liftEnded(const base::node_id &node, base::incarnation incarnation);
    /// Lifts the quarantines that end with the node's own word.
    void lift(const heartbeat_entry &heartbeat);

    /// Forgets endpoints that left more than 24 h ago and returns their ids.
    std::vector<base::endpoint_id> forgetDeparted(base::milliseconds now);

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
    /// Removes the quarantines for which @p isOver, from departed endpoints too.
    template<typename Condition>
    void lift(Condition isOver);

    std::map<base::endpoint_id, endpoint_view> m_endpoints;
    std::map<base::endpoint_id, departed_endpoint> m_departed;
    /// False when no item is quarantined, so that heartbeats need not visit all items.
    bool m_mayHaveQuarantine = false;
};

} // namespace chervilbend::state
