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

} // namespace

endpoint_state::endpoint_state(const endpoint_facts &known, std::uint64_t number, const director_settings &settings)
    : facts(known)
    , serial(number)
    , idHash(base::hash64(known.endpoint.value()))
    , limit(settings, known.slots)
{
}

void endpoint_state::setReport(const load_report &report, base::time_point now)
{
    others = std::max(0.0, static_cast<double>(report.running + report.queued - inFlight));
    reportTime = now - report.lag;
    incarnation = report.incarnation;
}

void endpoint_state::ageReport(double mean, base::time_point now)
{
    const double age = static_cast<double>((now - reportTime).count());
    othersNow = mean + (others - mean) * std::exp(-age / reportAgeingMs);
}

} // namespace chervilbend::routing
