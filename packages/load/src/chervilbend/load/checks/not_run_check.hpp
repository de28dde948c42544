#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 4: an order whose last response was "not run" was not executed.
class not_run_check : public invariant_check
{
public:
    std::string name() const override;
    check_result check(const run_history &history) const override;
};

} // namespace chervilbend::load
