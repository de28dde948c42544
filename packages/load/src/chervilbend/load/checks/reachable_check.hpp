#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 2: no declared model goes without a whole answer for longer than the tolerance while callers ask for it, and
/// none is refused as if it were not declared, which callers take as final.
class reachable_check : public invariant_check
{
public:
    std::string name() const override;
    verdict check(const run_history &history) const override;
};

} // namespace chervilbend::load
