#include <chervilbend/fakes/platform/event_feed.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/net/sleep.hpp>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

namespace
{

constexpr int leastEvents = 20;
constexpr int mostEvents = 80;
constexpr base::milliseconds shortestGap{20};
constexpr base::milliseconds longestGap{120};
constexpr base::milliseconds shortestPause{200};
constexpr base::milliseconds longestPause{2'500};
constexpr base::milliseconds shortestTimeBetweenPauses{1'500};
constexpr base::milliseconds longestTimeBetweenPauses{6'000};

base::milliseconds draw(seeded_random &random, base::milliseconds shortest, base::milliseconds longest)
{
    return base::milliseconds(random.between(shortest.count(), longest.count()));
}

} // namespace

event_feed::event_feed(std::uint64_t seed)
    : m_random(seed)
{
}

int event_feed::eventsOf(std::string_view target)
{
    return leastEvents + static_cast<int>(base::hash64(target) % (mostEvents - leastEvents + 1));
}

std::string event_feed::eventText(std::string_view target, int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece of " + std::string(target) + "\n\n";
}

asio::awaitable<void> event_feed::pauseNowAndThen(std::function<bool()> goesOn)
{
    while (goesOn()) {
        co_await net::sleepFor(draw(m_random, shortestTimeBetweenPauses, longestTimeBetweenPauses));
        m_pausedUntil = base::clock::now() + draw(m_random, shortestPause, longestPause);
    }
}

asio::awaitable<void> event_feed::waitForNext()
{
    co_await net::sleepFor(draw(m_random, shortestGap, longestGap));
    while (base::clock::now() < m_pausedUntil) {
        co_await net::sleepFor(m_pausedUntil - base::clock::now());
    }
}

} // namespace chervilbend::fakes
