#pragma once

#include <chervilbend/config/fault.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <cstddef>
#include <vector>

namespace chervilbend::config
{

/// The result of reading a set of service files.
struct service_set {
    /// Ordered by service id. Complete only if there are no faults.
    std::vector<service_declaration> declarations;
    /// Ordered by file and line.
    std::vector<fault> faults;
    std::size_t files = 0;
};

} // namespace chervilbend::config
