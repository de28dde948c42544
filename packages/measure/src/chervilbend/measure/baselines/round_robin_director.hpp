#pragma once

#include <chervilbend/measure/baselines/simple_director.hpp>

namespace chervilbend::measure
{

/// Sends every request at once, to the endpoints in turn.
class round_robin_director : public simple_director
{
public:
    /// @p start is the first endpoint, so that several nodes do not go in step.
    explicit round_robin_director(std::uint64_t start)
        : m_next(start)
    {
    }

protected:
    std::optional<std::size_t> choose() override
    {
        return m_next++ % targets().size();
    }

private:
    std::uint64_t m_next;
};

} // namespace chervilbend::measure
