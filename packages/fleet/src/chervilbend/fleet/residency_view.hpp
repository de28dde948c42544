#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>

#include <vector>

namespace chervilbend::fleet
{

/// What each engine holds, as known to this node.
class residency_view
{
public:
    virtual ~residency_view() = default;

    virtual std::vector<resident_model> modelsAt(const base::endpoint_id &endpoint) const = 0;
};

} // namespace chervilbend::fleet
