#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace chervilbend::membership
{

/// Offered work per item, in endpoints that it would keep fully busy. Unserved work is part of it.
using demand_by_item = std::map<base::item_id, double>;

/// A node's place in the tree that sums the demand of all nodes towards the planner.
///
/// The root is the planner; the other nodes follow in the order of the hash of their id, each with up to fanIn children. A report is
/// taken only from a node that is a child in the receiver's own view. Two views may differ, but no cycle can arise: the order of the
/// nodes other than the root is the same in all views, and who sees itself as the root sends to nobody.
class demand_tree
{
public:
    static constexpr std::size_t fanIn = 8;
    /// A child's sum counts for this time after it arrived.
    static constexpr base::milliseconds expiry{30'000};

    explicit demand_tree(base::node_id self);

    /// Commands.

    /// The live nodes in any order, this one among them, and the planner (empty when there is none).
    void setMembers(std::vector<base::node_id> live, const base::node_id &planner);
    void setLocalDemand(demand_by_item demand);
    /// Takes a child's sum. False when the sender is not a child.
    bool accept(const base::node_id &child, demand_by_item sum);

    /// Queries.

    /// No value for the root and while there is no planner.
    const std::optional<base::node_id> &parent() const
    {
        return m_parent;
    }

    /// Own demand and that of the children whose sums have not expired.
    demand_by_item sum() const;

private:
    struct child_sum {
        demand_by_item demand;
        std::optional<base::time_point> arrivedAt;
    };

    base::node_id m_self;
    std::optional<base::node_id> m_parent;
    demand_by_item m_own;
    std::map<base::node_id, child_sum> m_children;
};

} // namespace chervilbend::membership
