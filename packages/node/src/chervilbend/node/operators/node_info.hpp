#pragma once

#include <chervilbend/node/operators/known_node.hpp>
#include <chervilbend/node/operators/log_status.hpp>

#include <vector>

namespace chervilbend::node
{

/// What the operators' calls read of a node apart from the fold.
class node_info
{
public:
    virtual ~node_info() = default;

    virtual base::node_id self() const = 0;
    virtual log_status log() const = 0;
    /// All nodes that membership knows, this one among them.
    virtual std::vector<known_node> nodes() const = 0;
};

} // namespace chervilbend::node
