#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace chervilbend::membership
{

/// Offered load per item, in fully utilised endpoints. Includes load that is not served.
using demand_by_item = std::map<base::item_id, double>;

/// A node's position in the aggregation tree that sums the demand of all nodes at the planner.
///
/// The root is the planner. The other nodes follow in the order of the hash of their id, each with up to fanIn children. A sum is accepted
/// only from a node that is a child in the view of the receiver. The views of two nodes may differ, but cycles cannot occur: all views have
/// the same order of the nodes other than the root, and a node that is the root in its own view sends no sums.
class demand_tree
{
public:
    static constexpr std::size_t fanIn = 8;
    /// A child's sum is used for this time after its arrival.
    static constexpr base::milliseconds expiry{30'000};

    explicit demand_tree(base::node_id self);

    /// Commands.

    /// Sets the live nodes, in any order and including this one, and the planner (empty if there is none).
    void setMembers(std::vector<base::node_id> live, const base::node_id &planner);
    void setLocalDemand(demand_by_item demand);
    /// Stores the sum of a child. Returns false if the sender is not a child.
    bool accept(const base::node_id &child, demand_by_item sum);

    /// Queries.

    /// Empty for the root and while there is no planner.
    const std::optional<base::node_id> &parent() const
    {
        return m_parent;
    }

    /// The local demand plus the sums of the children that have not expired.
    demand_by_item sum() const;

private:
    struct child_sum {
        demand_by_item demand;
        std::optional<base::time_point> arrivedAt;
    };

    base::node_id m_self;
    std::optional<base::node_id> m_parent;
    demand_by_item m_localDemand;
    std::map<base::node_id, child_sum> m_children;
};

} // namespace chervilbend::membership
