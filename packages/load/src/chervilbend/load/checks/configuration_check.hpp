#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 8: an accepted version is in force at every ready node within 6 s, and no node reverts to an older one.
class configuration_check : public invariant_check
{
public:
    std::string name() const override;
    check_result check(const run_history &history) const override;
};

} // namespace chervilbend::load
