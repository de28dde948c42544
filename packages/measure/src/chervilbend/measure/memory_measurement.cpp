#include <chervilbend/measure/memory_measurement.hpp>

#include <chervilbend/measure/simulation/memory_simulation.hpp>

#include <cstdio>
#include <limits>

namespace chervilbend::measure
{

namespace
{

constexpr std::uint64_t schedulesPerSeed = 3'400;
constexpr base::milliseconds usualDuration{150'000};
/// Long enough for the drivers to count unanswered commands as lost. Used for one schedule in longEvery.
constexpr base::milliseconds longDuration{1'200'000};
constexpr std::uint64_t longEvery = 50;

constexpr double noBaseline = std::numeric_limits<double>::quiet_NaN();

} // namespace

std::string memory_measurement::name() const
{
    return "memory";
}

std::vector<figure> memory_measurement::run(std::uint64_t seed)
{
    memory_result total;
    for (std::uint64_t i = 0; i < schedulesPerSeed; ++i) {
        const std::uint64_t scheduleSeed = seed * 1'000'000 + i;
        const memory_result result = memory_simulation(scheduleSeed).run(i % longEvery == 0 ? longDuration : usualDuration);
        if (result.overcommitted > 0) {
            std::fprintf(stderr, "memory: engine memory overcommitted in the schedule with seed %llu\n", static_cast<unsigned long long>(scheduleSeed));
        }
        total.overcommitted += result.overcommitted;
        total.assigned += result.assigned;
        total.released += result.released;
        total.ownerChanges += result.ownerChanges;
        total.quarantines += result.quarantines;
    }
    const auto schedules = static_cast<double>(schedulesPerSeed);
    const auto perSchedule = [&](const char *name, std::int64_t count) {
        return figure{std::string("memory: ") + name, static_cast<double>(count) / schedules, noBaseline, "per schedule", seed, "> 1", count > 3'400};
    };
    return {
        {"memory: schedules", schedules, noBaseline, "schedules", seed, ">= 3334 per seed", schedulesPerSeed >= 3'334},
        {"memory: overcommitted engines", static_cast<double>(total.overcommitted), noBaseline, "engines", seed, "0", total.overcommitted == 0},
        perSchedule("assigns", total.assigned),
        perSchedule("releases", total.released),
        perSchedule("owner changes", total.ownerChanges),
        perSchedule("records with items in quarantine", total.quarantines),
    };
}

} // namespace chervilbend::measure
