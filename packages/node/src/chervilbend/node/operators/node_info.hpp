#pragma once

#include <chervilbend/node/operators/known_node.hpp>
#include <chervilbend/node/operators/log_status.hpp>

#include <vector>

namespace chervilbend::node
{

/// Information about a node that is not part of the replicated state, for the operators' RPC methods.
class node_info
{
public:
    virtual ~node_info() = default;

    virtual base::node_id self() const = 0;
    virtual log_status log() const = 0;
    /// All nodes in the membership list, including this one.
    virtual std::vector<known_node> nodes() const = 0;
};

} // namespace chervilbend::node
