#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 5: no order ran more than once, and one that was answered "ran" did run.
class once_check : public invariant_check
{
public:
    std::string name() const override;
    verdict check(const run_history &history) const override;
};

} // namespace chervilbend::load
