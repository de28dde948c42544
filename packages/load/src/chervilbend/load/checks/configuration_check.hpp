#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 8: an accepted version is in force at each ready node within 6 s, and no node shows an older one afterwards.
class configuration_check : public invariant_check
{
public:
    std::string name() const override;
    verdict check(const run_history &history) const override;
};

} // namespace chervilbend::load
