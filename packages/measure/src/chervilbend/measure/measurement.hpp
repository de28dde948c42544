#pragma once

#include <chervilbend/measure/figure.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// A named measurement that compares the product with baselines in one run.
class measurement
{
public:
    virtual ~measurement() = default;

    virtual std::string name() const = 0;

    /// Runs all variants with the arrivals and faults that @p seed gives.
    virtual std::vector<figure> run(std::uint64_t seed) = 0;
};

} // namespace chervilbend::measure
