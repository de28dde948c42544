#pragma once

#include <chervilbend/measure/baselines/baseline_director.hpp>

namespace chervilbend::measure
{

/// Sends every request immediately to the endpoint with the fewest outstanding requests of this node.
class least_outstanding_director : public baseline_director
{
protected:
    std::optional<std::size_t> choose() override
    {
        return leastOutstanding();
    }
};

} // namespace chervilbend::measure
