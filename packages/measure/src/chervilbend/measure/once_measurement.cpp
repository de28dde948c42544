#include <chervilbend/measure/once_measurement.hpp>

#include <chervilbend/measure/simulation/once_simulation.hpp>
#include <chervilbend/measure/simulation/order_history_check.hpp>

#include <limits>

namespace chervilbend::measure
{

namespace
{

constexpr double noBaseline = std::numeric_limits<double>::quiet_NaN();

figure zero(const std::string &name, std::int64_t count, std::uint64_t seed)
{
    return {"once: " + name, static_cast<double>(count), noBaseline, "orders", seed, "0", count == 0};
}

/// The same orders with nothing but lost answers of the order service and lost or late appends.
once_options withoutOutages()
{
    constexpr base::milliseconds never{1'000'000'000'000};
    once_options options;
    options.killEvery = never;
    options.pauseEvery = never;
    options.outageEvery = never;
    options.slowLogEvery = never;
    options.cutOffEvery = never;
    return options;
}

/// What a simulation gave.
struct once_result {
    order_history_verdict verdict;
    double unknownOrders = 0;
    std::int64_t wrongAnswers = 0;

    double share(std::int64_t count) const
    {
        return static_cast<double>(count) / static_cast<double>(verdict.answers);
    }
};

once_result simulate(std::uint64_t seed, const once_options &options)
{
    once_simulation simulation(seed, options);
    once_result result;
    result.verdict = checkHistory(simulation.run());
    result.unknownOrders = static_cast<double>(simulation.unknownOrders()) / static_cast<double>(result.verdict.orders);
    result.wrongAnswers = simulation.wrongAnswers();
    return result;
}

} // namespace

std::string once_measurement::name() const
{
    return "once";
}

std::vector<figure> once_measurement::run(std::uint64_t seed)
{
    const once_result faulty = simulate(seed, {});
    const once_result quiet = simulate(seed, withoutOutages());
    const order_history_verdict &verdict = faulty.verdict;
    const auto count = [&](const auto &list) {
        return static_cast<std::int64_t>((verdict.*list).size() + (quiet.verdict.*list).size());
    };
    const auto reported = [&](const char *name, double ours, double baseline) {
        return figure{std::string("once: ") + name, ours, baseline, "share", seed, "reported; baseline without outages", true};
    };
    return {
        {"once: orders", static_cast<double>(verdict.orders), noBaseline, "orders", seed, ">= 2000", verdict.orders >= 2'000},
        zero("duplicate executions", count(&order_history_verdict::doubled), seed),
        zero("false \"not run\"", count(&order_history_verdict::falseNotRun), seed),
        zero("false or wrong \"ran\"", count(&order_history_verdict::falseRan) + faulty.wrongAnswers + quiet.wrongAnswers, seed),
        reported("answers ran", faulty.share(verdict.ranAnswers), quiet.share(quiet.verdict.ranAnswers)),
        reported("answers not run", faulty.share(verdict.notRunAnswers), quiet.share(quiet.verdict.notRunAnswers)),
        reported("answers unknown", faulty.share(verdict.unknownAnswers), quiet.share(quiet.verdict.unknownAnswers)),
        reported("orders left unknown", faulty.unknownOrders, quiet.unknownOrders),
    };
}

} // namespace chervilbend::measure
