#include <chervilbend/measure/attainment/planner_pass_measurement.hpp>

#include <chervilbend/measure/attainment/placement_simulation.hpp>
#include <chervilbend/measure/attainment/product_policy.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace chervilbend::measure
{

namespace
{

/// The product's planner with a stopwatch.
class timed_policy : public placement_policy
{
public:
    std::vector<state::entry> plan(const placement::planner_input &input) override
    {
        const auto start = std::chrono::steady_clock::now();
        std::vector<state::entry> entries = m_product.plan(input);
        passes.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
        return entries;
    }

    /// Milliseconds.
    std::vector<double> passes;

private:
    product_policy m_product;
};

} // namespace

std::vector<figure> planner_pass_measurement::run(std::uint64_t seed)
{
    deployment target{"target", 5, 880, 230, 1'150, {}, 1};
    const demand_day day(target.models, seed);
    timed_policy policy;
    constexpr int seconds = 300;
    placement_simulation(target, day, seed).run(policy, seconds);
    std::sort(policy.passes.begin(), policy.passes.end());
    const double median = policy.passes[policy.passes.size() / 2];
    const double slow = policy.passes[policy.passes.size() * 99 / 100];
    const double none = std::numeric_limits<double>::quiet_NaN();
    // One pass per second: 10 ms are 1% of a core, within the control plane's 3.4%.
    constexpr double bound = 10;
    return {{"planner pass, median", median, none, "ms", seed, "<= 10 ms", median <= bound},
            {"planner pass, p99", slow, none, "ms", seed, "<= 10 ms", slow <= bound}};
}

} // namespace chervilbend::measure
