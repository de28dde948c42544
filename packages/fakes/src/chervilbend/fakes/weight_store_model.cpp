#include <chervilbend/fakes/weight_store_model.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::fakes
{

namespace
{

constexpr int adapterLowMs = 5;
constexpr int adapterHighMs = 7;

int countInTransit(std::multiset<base::time_point> &ends, base::time_point now)
{
    ends.erase(ends.begin(), ends.upper_bound(now));
    return static_cast<int>(ends.size());
}

base::milliseconds scaledDuration(double milliseconds, double inTransit, double slots, double slowness)
{
    return base::milliseconds(std::llround(milliseconds * std::max(1.0, inTransit / slots) * slowness));
}

} // namespace

weight_store_model::weight_store_model(external::weight_store_status limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{
}

base::milliseconds weight_store_model::beginModelLoad()
{
    const base::time_point now = base::clock::now();
    const int inTransit = countInTransit(m_modelEnds, now) + 1;
    const base::time_point start = std::max(now, m_nextStart);
    m_nextStart = start + base::milliseconds(std::llround(1'000 / m_limits.loadsPerSecond));
    const base::time_point end = start + scaledDuration(1'000.0 * m_limits.slots / m_limits.loadsPerSecond, inTransit, m_limits.slots, m_slowness);
    m_modelEnds.insert(end);
    m_highestInTransit = std::max(m_highestInTransit, inTransit);
    return end - now;
}

base::milliseconds weight_store_model::beginAdapterLoad()
{
    const base::time_point now = base::clock::now();
    const int inTransit = countInTransit(m_adapterEnds, now) + 1;
    const auto nominalMs = static_cast<double>(m_random.between(adapterLowMs, adapterHighMs));
    const base::milliseconds duration = scaledDuration(nominalMs, inTransit, m_limits.adapterSlots, m_slowness);
    m_adapterEnds.insert(now + duration);
    return duration;
}

void weight_store_model::setSlowness(double factor)
{
    m_slowness = factor;
}

external::weight_store_status weight_store_model::status()
{
    external::weight_store_status now = m_limits;
    now.inTransit = countInTransit(m_modelEnds, base::clock::now());
    return now;
}

int weight_store_model::highestInTransit() const
{
    return m_highestInTransit;
}

} // namespace chervilbend::fakes
