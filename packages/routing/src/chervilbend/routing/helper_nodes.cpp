#include <chervilbend/routing/helper_nodes.hpp>

#include <utility>

namespace chervilbend::routing
{

namespace
{

/// Helpers of the node's own zone and of the others that are named to it.
constexpr std::size_t helpersPerKind = 2;
/// Longer than the longest interval of reports.
constexpr base::milliseconds reportLifetime{5'000};

} // namespace

void helper_nodes::setOwn(base::node_id node, helper_node own)
{
    m_ownId = std::move(node);
    m_own = std::move(own);
}

void helper_nodes::setCanHelp(bool canHelp)
{
    m_own.canHelp = canHelp;
}

void helper_nodes::noteReport(const base::node_id &node, const helper_node &report)
{
    m_reports[node] = {report, base::clock::now()};
}

void helper_nodes::setHelpers(std::vector<helper_node> helpers)
{
    m_helpers = std::move(helpers);
}

std::vector<helper_node> helper_nodes::chooseFor(const base::node_id &node)
{
    noteReport(m_ownId, m_own);
    const base::time_point now = base::clock::now();
    std::erase_if(m_reports, [&](const auto &report) { return now - report.second.reportedAt > reportLifetime; });
    const auto asking = m_reports.find(node);
    const base::zone_id zone = asking == m_reports.end() ? base::zone_id() : asking->second.node.zone;
    std::vector<helper_node> near;
    std::vector<helper_node> far;
    for (const auto &[id, report] : m_reports) {
        if (id != node && report.node.canHelp) {
            (report.node.zone == zone ? near : far).push_back(report.node);
        }
    }
    std::vector<helper_node> chosen;
    for (const std::vector<helper_node> *const kind : {&near, &far}) {
        for (std::size_t i = 0; i < helpersPerKind && i < kind->size(); ++i) {
            chosen.push_back((*kind)[(m_rotation + i) % kind->size()]);
        }
    }
    ++m_rotation;
    return chosen;
}

} // namespace chervilbend::routing
