#pragma once

#include <chervilbend/external/host_entry.hpp>

#include <vector>

namespace chervilbend::control
{

/// Interface for receiving changes of the host list.
class host_listener
{
public:
    virtual ~host_listener() = default;

    virtual void hostsChanged(const std::vector<external::host_entry> &hosts) = 0;
};

} // namespace chervilbend::control
