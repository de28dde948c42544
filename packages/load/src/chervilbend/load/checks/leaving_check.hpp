#pragma once

#include <chervilbend/load/checks/invariant_check.hpp>

namespace chervilbend::load
{

/// Invariant 6: the count of requests of an endpoint that is marked leaving does not grow any more after 5 s.
class leaving_check : public invariant_check
{
public:
    std::string name() const override;
    verdict check(const run_history &history) const override;
};

} // namespace chervilbend::load
