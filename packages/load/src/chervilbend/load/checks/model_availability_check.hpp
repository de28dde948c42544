#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 2: while callers request a declared model, it is never without a complete response for longer than the tolerance, and
/// requests for it are never refused with status 404, which callers treat as permanent.
class model_availability_check : public invariant_check
{
public:
    std::string name() const override;
    check_result check(const run_history &history) const override;
};

} // namespace chervilbend::load
