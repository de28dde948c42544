#pragma once

#include <chervilbend/external/host_entry.hpp>

#include <vector>

namespace chervilbend::control
{

/// Is told when the list of hosts has changed.
class host_listener
{
public:
    virtual ~host_listener() = default;

    virtual void hostsChanged(const std::vector<external::host_entry> &hosts) = 0;
};

} // namespace chervilbend::control
