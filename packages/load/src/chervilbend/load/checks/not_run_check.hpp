#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 4: an order whose last attempt to end was answered "not run" has no run.
class not_run_check : public invariant_check
{
public:
    std::string name() const override;
    verdict check(const run_history &history) const override;
};

} // namespace chervilbend::load
