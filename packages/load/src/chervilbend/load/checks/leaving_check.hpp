#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 6: an endpoint that is marked leaving receives no requests after 5 s.
class leaving_check : public invariant_check
{
public:
    std::string name() const override;
    check_result check(const run_history &history) const override;
};

} // namespace chervilbend::load
