#pragma once

#include <chervilbend/measure/baselines/baseline_director.hpp>

namespace chervilbend::measure
{

/// Sends every request immediately, to the endpoints in turn.
class round_robin_director : public baseline_director
{
public:
    /// @p start selects the first endpoint. It differs between nodes, so that they do not all use the same endpoint at the same time.
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
