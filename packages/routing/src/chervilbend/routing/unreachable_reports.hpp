#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/routing/endpoint_process.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace chervilbend::routing
{

/// The lease holder's decision which endpoint processes the nodes are told not to use, from the connections that were refused to each node. A single node may
/// itself be cut off, so that two must report the same process; in clusters of fewer than 4 nodes, one is enough.
class unreachable_reports
{
public:
    /// Commands.

    /// This node has acquired the lease and has no reports yet.
    void start();
    /// Replaces what @p node has reported before.
    void noteReport(const base::node_id &node, std::vector<endpoint_process> processes);
    /// The processes to be listed in the answer to @p node, those with most reports first.
    std::vector<endpoint_process> listFor(const base::node_id &node);

private:
    struct node_entry {
        base::time_point reportedAt;
        std::vector<endpoint_process> processes;
    };

    struct reported_process {
        endpoint_process process;
        std::size_t reports = 0;
        /// One of those that have reported it.
        base::node_id reporter;
    };

    void refresh(base::time_point now);
    std::size_t neededReports(base::time_point now) const;

    std::map<base::node_id, node_entry> m_nodes;
    std::vector<reported_process> m_confirmed;
    base::time_point m_refreshAt;
    base::time_point m_startedAt = base::clock::now();
};

} // namespace chervilbend::routing
