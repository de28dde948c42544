#pragma once

#include <cstdint>
#include <string>

namespace chervilbend::measure
{

/// One measured value with its baseline and target.
struct figure {
    std::string name;
    double measured = 0;
    /// NaN if there is no baseline.
    double baseline = 0;
    std::string unit;
    std::uint64_t seed = 0;
    /// The target as printed, for example "<= 0.10 x baseline".
    std::string target;
    bool met = false;
};

} // namespace chervilbend::measure
