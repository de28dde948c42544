#include <chervilbend/membership/demand_tree.hpp>

#include <chervilbend/base/hash.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace chervilbend::membership
{

demand_tree::demand_tree(base::node_id self)
    : m_self(std::move(self))
{
}

void demand_tree::setMembers(std::vector<base::node_id> live, const base::node_id &planner)
{
    const auto key = [&planner](const base::node_id &node) {
        return std::tuple(node != planner, base::hash64(node.value()), node.value());
    };
    std::sort(live.begin(), live.end(), [&key](const base::node_id &left, const base::node_id &right) { return key(left) < key(right); });
    const auto found = std::find(live.begin(), live.end(), m_self);
    std::map<base::node_id, child_sum> children;
    m_parent.reset();
    if (!planner.empty() && found != live.end()) {
        const auto index = static_cast<std::size_t>(found - live.begin());
        if (m_self != planner && index > 0) {
            m_parent = live[(index - 1) / fanIn];
        }
        for (std::size_t child = index * fanIn + 1; child <= index * fanIn + fanIn && child < live.size(); ++child) {
            children[live[child]] = std::move(m_children[live[child]]);
        }
    }
    m_children = std::move(children);
}

void demand_tree::setLocalDemand(demand_by_item demand)
{
    m_localDemand = std::move(demand);
}

bool demand_tree::accept(const base::node_id &child, demand_by_item sum)
{
    const auto found = m_children.find(child);
    if (found == m_children.end()) {
        return false;
    }
    found->second = {std::move(sum), base::clock::now()};
    return true;
}

demand_by_item demand_tree::sum() const
{
    demand_by_item total = m_localDemand;
    for (const auto &[id, child] : m_children) {
        if (child.arrivedAt && base::clock::now() - *child.arrivedAt <= expiry) {
            for (const auto &[item, demand] : child.demand) {
                total[item] += demand;
            }
        }
    }
    return total;
}

} // namespace chervilbend::membership
