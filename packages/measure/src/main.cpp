#include <chervilbend/base/log.hpp>
#include <chervilbend/measure/measurements.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <string>

DEFINE_uint64(seed, 1, "First seed");
DEFINE_int32(seeds, 3, "Number of seeds, 1 to 100");

namespace
{

using namespace chervilbend::measure;

void print(const figure &result)
{
    const double ratio = result.measured / result.baseline;
    std::printf("%-36s %12.3f %12.3f %8.3f %-14s seed=%llu target %s: %s\n",
                result.name.c_str(),
                result.measured,
                result.baseline,
                ratio,
                result.unit.c_str(),
                static_cast<unsigned long long>(result.seed),
                result.target.c_str(),
                result.met ? "met" : "MISSED");
}

} // namespace

/// Runs the named measurements, or all of them, and prints one line per figure. Exits with 1 if a figure misses its target.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("[--seed N] [--seeds N] [NAME...]: runs the named measurements, or all of them, against baselines");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    chervilbend::base::configureLogging("ERROR");
    const std::set<std::string> wanted(argv + 1, argv + argc);
    std::printf("%-36s %12s %12s %8s %-14s\n", "name", "ours", "baseline", "ratio", "unit");
    bool allMet = true;
    for (const auto &measurement : allMeasurements()) {
        if (!wanted.empty() && !wanted.contains(measurement->name())) {
            continue;
        }
        for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + static_cast<std::uint64_t>(std::max(1, FLAGS_seeds)); ++seed) {
            for (const figure &result : measurement->run(seed)) {
                print(result);
                allMet = allMet && result.met;
            }
        }
    }
    return allMet ? 0 : 1;
}
