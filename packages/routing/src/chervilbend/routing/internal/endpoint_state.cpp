#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <chervilbend/base/hash.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

namespace
{

/// Time constant of the decay. Reports arrive every 2 s, and load changes within seconds: a report of twice that age is of little use.
constexpr double reportDecayMs = 2000;

} // namespace

endpoint_state::endpoint_state(const endpoint_facts &initialFacts, std::uint64_t serialNumber, const director_settings &settings)
    : facts(initialFacts)
    , serial(serialNumber)
    , idHash(base::hash64(initialFacts.endpoint.value()))
    , limit(settings, initialFacts.slots)
{
}

void endpoint_state::setReport(const load_report &report, base::time_point now)
{
    remoteInFlight = std::max(0.0, static_cast<double>(report.running + report.queued - inFlight));
    reportTime = now - report.lag;
    incarnation = report.incarnation;
}

void endpoint_state::decayReport(double mean, base::time_point now)
{
    const double age = static_cast<double>((now - reportTime).count());
    estimatedRemoteInFlight = mean + (remoteInFlight - mean) * std::exp(-age / reportDecayMs);
}

} // namespace chervilbend::routing
