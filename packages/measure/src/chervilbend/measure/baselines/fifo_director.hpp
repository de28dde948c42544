#pragma once

#include <chervilbend/measure/baselines/simple_director.hpp>

namespace chervilbend::measure
{

/// One queue in order of arrival, without a limit, for all endpoints; the head goes to the endpoint with the fewest requests as soon
/// as this node's share of all slots has room. The number of slots is given to it, which a real node would not know.
class fifo_director : public simple_director
{
public:
    explicit fifo_director(int slots)
        : m_slots(slots)
    {
    }

protected:
    std::optional<std::size_t> choose() override
    {
        const double share = static_cast<double>(targets().size()) * m_slots / nodeCount();
        return static_cast<double>(inFlight()) < share ? std::optional(leastOutstanding()) : std::nullopt;
    }

private:
    int m_slots;
};

} // namespace chervilbend::measure
