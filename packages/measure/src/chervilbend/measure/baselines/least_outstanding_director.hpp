#pragma once

#include <chervilbend/measure/baselines/simple_director.hpp>

namespace chervilbend::measure
{

/// Sends every request at once, to the endpoint with the fewest of this node's requests.
class least_outstanding_director : public simple_director
{
protected:
    std::optional<std::size_t> choose() override
    {
        return leastOutstanding();
    }
};

} // namespace chervilbend::measure
