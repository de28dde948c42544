#include <chervilbend/fakes/cache_event_feed.hpp>

namespace chervilbend::fakes
{

namespace
{
constexpr std::size_t maxEvents = 1'000;
} // namespace

cache_event_feed::cache_event_feed(base::milliseconds lag, double lostShare, std::uint64_t seed)
    : m_lag(lag)
    , m_lostShare(lostShare)
    , m_random(seed)
{
}

void cache_event_feed::add(bool stored, const std::string &prefix)
{
    ++m_lastSequence;
    if (m_random.chance(m_lostShare)) {
        return;
    }
    m_events.push_back({m_lastSequence, stored, prefix, base::clock::now()});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

std::vector<cache_event> cache_event_feed::read(std::int64_t after) const
{
    std::vector<cache_event> visible;
    for (const cache_event &event : m_events) {
        if (event.sequence > after && event.time + m_lag <= base::clock::now()) {
            visible.push_back(event);
        }
    }
    return visible;
}

} // namespace chervilbend::fakes
