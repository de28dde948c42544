#include <chervilbend/measure/at_most_once_measurement.hpp>

#include <chervilbend/measure/simulation/at_most_once_simulation.hpp>
#include <chervilbend/measure/simulation/order_history_check.hpp>

#include <limits>

namespace chervilbend::measure
{

namespace
{

constexpr double noBaseline = std::numeric_limits<double>::quiet_NaN();

figure zeroFigure(const std::string &name, std::int64_t count, std::uint64_t seed)
{
    return {"once: " + name, static_cast<double>(count), noBaseline, "orders", seed, "0", count == 0};
}

/// Options for the same orders with only lost answers of the order service and lost or late appends as faults.
at_most_once_options optionsWithoutOutages()
{
    constexpr base::milliseconds never{1'000'000'000'000};
    at_most_once_options options;
    options.killEvery = never;
    options.pauseEvery = never;
    options.outageEvery = never;
    options.slowLogEvery = never;
    options.logDisconnectEvery = never;
    return options;
}

/// Result of one simulation.
struct at_most_once_result {
    order_history_verdict verdict;
    double unknownOrders = 0;
    std::int64_t wrongAnswers = 0;

    double share(std::int64_t count) const
    {
        return static_cast<double>(count) / static_cast<double>(verdict.answers);
    }
};

at_most_once_result simulate(std::uint64_t seed, const at_most_once_options &options)
{
    at_most_once_simulation simulation(seed, options);
    at_most_once_result result;
    result.verdict = checkHistory(simulation.run());
    result.unknownOrders = static_cast<double>(simulation.unknownOrders()) / static_cast<double>(result.verdict.orders);
    result.wrongAnswers = simulation.wrongAnswers();
    return result;
}

} // namespace

std::string at_most_once_measurement::name() const
{
    return "once";
}

std::vector<figure> at_most_once_measurement::run(std::uint64_t seed)
{
    const at_most_once_result faulty = simulate(seed, {});
    const at_most_once_result withoutOutages = simulate(seed, optionsWithoutOutages());
    const order_history_verdict &verdict = faulty.verdict;
    const auto count = [&](const auto &list) {
        return static_cast<std::int64_t>((verdict.*list).size() + (withoutOutages.verdict.*list).size());
    };
    const auto reported = [&](const char *name, double measured, double baseline) {
        return figure{std::string("once: ") + name, measured, baseline, "share", seed, "reported; baseline without outages", true};
    };
    return {
        {"once: orders", static_cast<double>(verdict.orders), noBaseline, "orders", seed, ">= 2000", verdict.orders >= 2'000},
        zeroFigure("duplicate executions", count(&order_history_verdict::executedTwice), seed),
        zeroFigure("false \"not run\"", count(&order_history_verdict::falseNotRun), seed),
        zeroFigure("false or wrong \"ran\"", count(&order_history_verdict::falseRan) + faulty.wrongAnswers + withoutOutages.wrongAnswers, seed),
        reported("answers ran", faulty.share(verdict.ranAnswers), withoutOutages.share(withoutOutages.verdict.ranAnswers)),
        reported("answers not run", faulty.share(verdict.notRunAnswers), withoutOutages.share(withoutOutages.verdict.notRunAnswers)),
        reported("answers unknown", faulty.share(verdict.unknownAnswers), withoutOutages.share(withoutOutages.verdict.unknownAnswers)),
        reported("orders left unknown", faulty.unknownOrders, withoutOutages.unknownOrders),
    };
}

} // namespace chervilbend::measure
