#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 1: the memory use of an engine never exceeds its capacity.
class memory_check : public invariant_check
{
public:
    std::string name() const override;
    check_result check(const run_history &history) const override;
};

} // namespace chervilbend::load
