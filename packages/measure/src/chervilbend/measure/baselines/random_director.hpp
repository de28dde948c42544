#pragma once

#include <chervilbend/measure/baselines/baseline_director.hpp>

#include <random>

namespace chervilbend::measure
{

/// Sends every request immediately to a random endpoint.
class random_director : public baseline_director
{
public:
    explicit random_director(std::uint64_t seed)
        : m_random(seed)
    {
    }

protected:
    std::optional<std::size_t> choose() override
    {
        return m_random() % targets().size();
    }

private:
    std::mt19937_64 m_random;
};

} // namespace chervilbend::measure
