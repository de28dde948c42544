#pragma once

#include <chervilbend/measure/baselines/baseline_director.hpp>

namespace chervilbend::measure
{

/// One unbounded first-in, first-out queue for all endpoints. The head is sent to the endpoint with the fewest requests as soon as this
/// node's share of all slots has room. It is given the number of slots, which a real node does not know.
class fifo_director : public baseline_director
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
