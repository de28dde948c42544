#pragma once

#include <chervilbend/measure/figure.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// A named measurement. Most compare the product with baselines in the same run.
class measurement
{
public:
    virtual ~measurement() = default;

    virtual std::string name() const = 0;

    /// Runs all variants with the same arrivals and faults, which are derived from @p seed.
    virtual std::vector<figure> run(std::uint64_t seed) = 0;
};

} // namespace chervilbend::measure
