#include <chervilbend/node/health/shutdown_sequence.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/health/readiness.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

/// How often the sequence looks whether all requests are finished; the most that it adds to a stop.
constexpr base::milliseconds drainPoll{20};

const log4cxx::LoggerPtr &nodeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("node");
    return logger;
}

} // namespace

shutdown_sequence::shutdown_sequence(
    const asio::any_io_executor &executor, readiness &ready, net::http_server &server, open_requests &open, shutdown_settings settings, hand_over handOver)
    : m_readiness(ready)
    , m_server(server)
    , m_open(open)
    , m_settings(settings)
    , m_handOver(std::move(handOver))
    , m_timer(executor)
{
}

asio::awaitable<std::size_t> shutdown_sequence::run()
{
    const base::time_point end = base::clock::now() + m_settings.bound;
    m_readiness.startShutdown();
    m_server.announceDrain();
    LOG4CXX_INFO(nodeLog(), "shutting down: not ready any more, waiting " << m_settings.balancerWait.count() << " ms for the load balancer");
    co_await pause(std::min(m_settings.balancerWait, m_settings.bound));

    m_server.drain();
    LOG4CXX_INFO(nodeLog(), "shutting down: no new connections, " << m_open.size() << " requests open");
    co_await finishRequests(end - m_settings.handOverTime);
    const std::vector<std::string> cut = m_open.describe();
    for (const std::string &line : cut) {
        LOG4CXX_WARN(nodeLog(), "cut off: " << line);
    }
    m_server.closeAll();

    co_await handOver(end);
    LOG4CXX_INFO(nodeLog(), "shut down, " << cut.size() << " requests cut off");
    co_return cut.size();
}

void shutdown_sequence::cutOff()
{
    LOG4CXX_WARN(nodeLog(), "second signal: cutting off what is open");
    m_cut = true;
    m_timer.cancel();
}

asio::awaitable<void> shutdown_sequence::pause(base::milliseconds duration)
{
    if (!m_cut) {
        m_timer.expires_after(duration);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> shutdown_sequence::finishRequests(base::time_point end)
{
    while (!m_cut && !isDrained() && base::clock::now() < end) {
        co_await pause(drainPoll);
    }
}

/// The hand-over runs in a task of its own, so that one that hangs cannot hold the stop beyond its bound. What that task uses belongs to the
/// composition, which ends the event loop after run().
asio::awaitable<void> shutdown_sequence::handOver(base::time_point end)
{
    if (!m_handOver) {
        co_return;
    }
    const auto ended = std::make_shared<bool>(false);
    asio::co_spawn(m_timer.get_executor(), m_handOver, [ended](const std::exception_ptr &failure) {
        *ended = true;
        if (failure) {
            LOG4CXX_ERROR(nodeLog(), "handing over the leases failed; they expire by themselves");
        }
    });
    while (!*ended && base::clock::now() < end) {
        m_timer.expires_after(drainPoll);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!*ended) {
        LOG4CXX_WARN(nodeLog(), "the leases were not handed over in time; they expire by themselves");
    }
}

bool shutdown_sequence::isDrained() const
{
    return m_open.size() == 0 && m_server.openRequests() == 0;
}

} // namespace chervilbend::node
