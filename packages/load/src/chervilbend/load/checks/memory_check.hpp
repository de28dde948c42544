#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 1: no engine ever counted more memory in use than it has.
class memory_check : public invariant_check
{
public:
    std::string name() const override;
    verdict check(const run_history &history) const override;
};

} // namespace chervilbend::load
