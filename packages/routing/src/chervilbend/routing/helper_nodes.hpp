#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace chervilbend::routing
{

/// A node that may pass requests of another one on to endpoints.
struct helper_node {
    /// "IP:PORT" for messages between nodes.
    std::string address;
    base::zone_id zone;
    /// It reaches endpoints and is not stopping.
    bool canHelp = false;
    /// It takes the account of a request from the node that passes it on; nodes of earlier versions do not.
    bool takesAccounts = false;

    friend bool operator==(const helper_node &, const helper_node &) = default;
};

/// The nodes that can pass on requests for one that reaches no endpoint: what this node says of itself, what the others have reported to it as lease
/// holder, and the ones that the holder has named to it.
class helper_nodes
{
public:
    /// Commands.

    void setOwn(base::node_id node, helper_node own);
    void setCanHelp(bool canHelp);
    void noteReport(const base::node_id &node, const helper_node &report);
    void setHelpers(std::vector<helper_node> helpers);
    /// Names helpers to a node that has reported: some of its own zone, and some of others, in rotation.
    std::vector<helper_node> chooseFor(const base::node_id &node);

    /// Queries.

    const base::node_id &ownId() const
    {
        return m_ownId;
    }
    const helper_node &own() const
    {
        return m_own;
    }
    /// As named by the holder.
    const std::vector<helper_node> &helpers() const
    {
        return m_helpers;
    }

private:
    struct reported_node {
        helper_node node;
        base::time_point reportedAt;
    };

    base::node_id m_ownId;
    helper_node m_own;
    std::vector<helper_node> m_helpers;
    std::map<base::node_id, reported_node> m_reports;
    std::size_t m_rotation = 0;
};

} // namespace chervilbend::routing
