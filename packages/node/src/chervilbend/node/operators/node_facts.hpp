#pragma once

#include <chervilbend/node/operators/known_node.hpp>
#include <chervilbend/node/operators/log_contact.hpp>

#include <vector>

namespace chervilbend::node
{

/// What the operators' calls read of a node apart from the fold.
class node_facts
{
public:
    virtual ~node_facts() = default;

    virtual base::node_id self() const = 0;
    virtual log_contact log() const = 0;
    /// All nodes that membership knows, this one among them.
    virtual std::vector<known_node> nodes() const = 0;
};

} // namespace chervilbend::node
