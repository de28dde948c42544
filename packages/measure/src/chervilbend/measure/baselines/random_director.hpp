#pragma once

#include <chervilbend/measure/baselines/simple_director.hpp>

#include <random>

namespace chervilbend::measure
{

/// Sends every request at once to an endpoint drawn at random.
class random_director : public simple_director
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
