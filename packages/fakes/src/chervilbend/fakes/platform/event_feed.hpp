#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::fakes
{

/// The pace of a server's feeds, which pause together now and then, as the streams of an engine do while it reads a long prompt.
///
/// A feed is a long stream that may be resumed; its events follow from its target, so that all servers write the same ones.
class event_feed
{
public:
    explicit event_feed(std::uint64_t seed);

    /// Number of events, whose ids are from 0 on.
    static int eventsOf(std::string_view target);
    static std::string eventText(std::string_view target, int id);

    /// Begins pauses at random times while @p goesOn holds.
    boost::asio::awaitable<void> pauseNowAndThen(std::function<bool()> goesOn);
    /// Waits until the next event is due.
    boost::asio::awaitable<void> waitForNext();

private:
    seeded_random m_random;
    base::time_point m_pausedUntil = base::clock::now();
};

} // namespace chervilbend::fakes
