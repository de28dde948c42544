#include <chervilbend/measure/attainment/planner_pass_measurement.hpp>

#include <chervilbend/measure/attainment/placement_simulation.hpp>
#include <chervilbend/measure/attainment/planner_policy.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace chervilbend::measure
{

namespace
{

/// The product's planner with a timer around each pass.
class timed_policy : public placement_policy
{
public:
    std::vector<state::entry> plan(const placement::planner_input &input) override
    {
        const auto start = std::chrono::steady_clock::now();
        std::vector<state::entry> entries = m_planner.plan(input);
        passTimesMs.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
        return entries;
    }

    /// Durations of the passes, in milliseconds.
    std::vector<double> passTimesMs;

private:
    planner_policy m_planner;
};

} // namespace

std::vector<figure> planner_pass_measurement::run(std::uint64_t seed)
{
    deployment target{"target", 5, 880, 230, 1'150, {}, 1};
    const demand_day day(target.models, seed);
    timed_policy policy;
    constexpr int seconds = 300;
    placement_simulation(target, day, seed).run(policy, seconds);
    std::sort(policy.passTimesMs.begin(), policy.passTimesMs.end());
    const double median = policy.passTimesMs[policy.passTimesMs.size() / 2];
    const double tail = policy.passTimesMs[policy.passTimesMs.size() * 99 / 100];
    const double noBaseline = std::numeric_limits<double>::quiet_NaN();
    // At one pass per second, 10 ms are 1% of a core; the control plane's budget is 3.4%.
    constexpr double boundMs = 10;
    return {{"planner pass, median", median, noBaseline, "ms", seed, "<= 10 ms", median <= boundMs},
            {"planner pass, p99", tail, noBaseline, "ms", seed, "<= 10 ms", tail <= boundMs}};
}

} // namespace chervilbend::measure
