#include <chervilbend/routing/unreachable_reports.hpp>

#include <chervilbend/routing/unreachable_endpoints.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// For so long a node's report counts.
constexpr base::milliseconds reportLifetime{2'000};
/// A node that has not reported for this time is not counted. Longer than the longest interval of reports.
constexpr base::milliseconds nodeLifetime{5'000};
/// The list is the same for all nodes that ask within this time: hundreds of nodes ask several times a second.
constexpr base::milliseconds refreshInterval{50};
/// Among fewer reporting nodes one report is enough: a second one may never come.
constexpr std::size_t fewNodes = 4;
/// Reports that are needed otherwise, since a single node may itself be cut off.
constexpr std::size_t usualReports = 2;

} // namespace

void unreachable_reports::start()
{
    m_nodes.clear();
    m_confirmed.clear();
    m_startedAt = base::clock::now();
    m_refreshAt = base::time_point{};
}

void unreachable_reports::noteReport(const base::node_id &node, std::vector<endpoint_process> processes)
{
    std::sort(processes.begin(), processes.end());
    processes.erase(std::unique(processes.begin(), processes.end()), processes.end());
    processes.resize(std::min(processes.size(), unreachable_endpoints::maxListed));
    m_nodes[node] = {base::clock::now(), std::move(processes)};
}

std::vector<endpoint_process> unreachable_reports::listFor(const base::node_id &node)
{
    const base::time_point now = base::clock::now();
    if (now >= m_refreshAt) {
        m_refreshAt = now + refreshInterval;
        refresh(now);
    }
    std::vector<endpoint_process> processes;
    for (const reported_process &reported : m_confirmed) {
        const bool isOwn = reported.reports == 1 && reported.reporter == node;
        if (!isOwn && processes.size() < unreachable_endpoints::maxListed) {
            processes.push_back(reported.process);
        }
    }
    return processes;
}

void unreachable_reports::refresh(base::time_point now)
{
    std::erase_if(m_nodes, [&](const auto &entry) { return now - entry.second.reportedAt > nodeLifetime; });
    std::map<endpoint_process, reported_process> all;
    for (const auto &[node, entry] : m_nodes) {
        if (now - entry.reportedAt > reportLifetime) {
            continue;
        }
        for (const endpoint_process &process : entry.processes) {
            reported_process &reported = all[process];
            reported.process = process;
            reported.reporter = node;
            ++reported.reports;
        }
    }
    const std::size_t needed = neededReports(now);
    m_confirmed.clear();
    for (auto &[process, reported] : all) {
        if (reported.reports >= needed) {
            m_confirmed.push_back(std::move(reported));
        }
    }
    std::stable_sort(m_confirmed.begin(), m_confirmed.end(), [](const auto &left, const auto &right) { return left.reports > right.reports; });
}

std::size_t unreachable_reports::neededReports(base::time_point now) const
{
    // Until all nodes have had the time to report to a new holder, it cannot tell that there are few.
    const bool isCounted = now - m_startedAt >= nodeLifetime;
    return isCounted && m_nodes.size() < fewNodes ? 1 : usualReports;
}

} // namespace chervilbend::routing
