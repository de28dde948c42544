#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <chervilbend/base/hash.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

namespace
{

/// Reports come every 2 s, and load swings within seconds: a report twice as old says little.
constexpr double reportAgeingMs = 2000;
/// The number of other nodes' requests is told several times a second; an older one says too little to fill the endpoint by.
constexpr base::milliseconds othersLife{1'200};
/// How many times its equal share of the free places a node may take, since nodes have unequal work.
constexpr double freeShare = 4;

} // namespace

endpoint_state::endpoint_state(const endpoint_facts &known, std::uint64_t number, const director_settings &settings)
    : facts(known)
    , serial(number)
    , idHash(base::hash64(known.endpoint.value()))
    , limit(settings, known.slots)
    , places(settings.sharedSlotFactor * known.slots)
{
}

double endpoint_state::room(int nodes, base::time_point now) const
{
    if (places > 0 && othersToldAt && now - *othersToldAt < othersLife) {
        // The others see the same free places: until the next word, each takes a few of them only.
        const double free = places - others - inFlightWhenTold;
        return std::min(places - others, inFlightWhenTold + std::max(1.0, free * freeShare / nodes));
    }
    return std::max(1.0, share(nodes));
}

void endpoint_state::setOthers(double count, base::time_point when)
{
    others = count;
    reportTime = when;
    othersToldAt = when;
    inFlightWhenTold = inFlight;
}

void endpoint_state::setReport(const load_report &report, base::time_point now)
{
    others = std::max(0.0, static_cast<double>(report.running + report.queued - inFlight));
    reportTime = now - report.lag;
    life = report.life;
}

void endpoint_state::ageReport(double mean, base::time_point now)
{
    const double age = static_cast<double>((now - reportTime).count());
    othersNow = mean + (others - mean) * std::exp(-age / reportAgeingMs);
}

} // namespace chervilbend::routing
