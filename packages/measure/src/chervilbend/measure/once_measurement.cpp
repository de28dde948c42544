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

} // namespace

std::string once_measurement::name() const
{
    return "once";
}

std::vector<figure> once_measurement::run(std::uint64_t seed)
{
    once_simulation simulation(seed);
    const order_history_verdict verdict = checkHistory(simulation.run());
    const auto orders = static_cast<double>(verdict.orders);
    const auto answers = static_cast<double>(verdict.answers);
    return {
        {"once: orders", orders, noBaseline, "orders", seed, ">= 2000", verdict.orders >= 2'000},
        zero("duplicate executions", static_cast<std::int64_t>(verdict.doubled.size()), seed),
        zero("false \"not run\"", static_cast<std::int64_t>(verdict.falseNotRun.size()), seed),
        zero("false or wrong \"ran\"", static_cast<std::int64_t>(verdict.falseRan.size()) + simulation.wrongAnswers(), seed),
        {"once: answers ran", static_cast<double>(verdict.ranAnswers) / answers, noBaseline, "share", seed, "reported", true},
        {"once: answers not run", static_cast<double>(verdict.notRunAnswers) / answers, noBaseline, "share", seed, "reported", true},
        {"once: answers unknown", static_cast<double>(verdict.unknownAnswers) / answers, noBaseline, "share", seed, "reported", true},
        {"once: orders left unknown", static_cast<double>(simulation.unknownOrders()) / orders, noBaseline, "share", seed, "reported", true},
    };
}

} // namespace chervilbend::measure
