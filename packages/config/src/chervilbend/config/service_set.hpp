#pragma once

#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <cstddef>
#include <vector>

namespace chervilbend::config
{

/// What a set of service files declares.
struct service_set {
    /// By service id. Complete only when there are no faults.
    std::vector<service_declaration> declarations;
    /// By file and line.
    std::vector<fault> faults;
    std::size_t files = 0;
};

} // namespace chervilbend::config
