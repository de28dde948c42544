#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/cache_event.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace chervilbend::fakes
{

/// Events of an engine's prefix cache, delivered with a lag and with some events missing.
class cache_event_feed
{
public:
    /// @p lostShare is the probability, from 0 to 1, that an event is never delivered.
    cache_event_feed(base::milliseconds lag, double lostShare, std::uint64_t seed);

    void add(bool stored, const std::string &prefix);

    /// The events with a sequence number above @p after that are at least as old as the lag, oldest first.
    std::vector<cache_event> read(std::int64_t after) const;

private:
    base::milliseconds m_lag;
    double m_lostShare;
    seeded_random m_random;
    std::int64_t m_lastSequence = 0;
    std::deque<cache_event> m_events;
};

} // namespace chervilbend::fakes
