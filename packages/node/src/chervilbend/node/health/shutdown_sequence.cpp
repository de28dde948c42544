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

/// Interval at which the sequence checks whether all requests have finished. A stop takes at most this much longer than necessary.
constexpr base::milliseconds drainPollInterval{20};
/// Time for the answers to requests that are aborted at the end.
constexpr base::milliseconds lastAnswerTime{200};

const log4cxx::LoggerPtr &nodeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("node");
    return logger;
}

} // namespace

shutdown_sequence::shutdown_sequence(const asio::any_io_executor &executor,
                                     readiness &ready,
                                     net::http_server &server,
                                     open_requests &openRequests,
                                     shutdown_settings settings,
                                     hand_over_function handOverLeases)
    : m_readiness(ready)
    , m_server(server)
    , m_openRequests(openRequests)
    , m_settings(settings)
    , m_handOverLeases(std::move(handOverLeases))
    , m_timer(executor)
{
}

asio::awaitable<std::size_t> shutdown_sequence::run()
{
    const base::time_point deadline = base::clock::now() + m_settings.timeout;
    m_readiness.startShutdown();
    m_server.announceDrain();
    LOG4CXX_INFO(nodeLog(), "shutting down: reporting not ready, waiting " << m_settings.balancerWait.count() << " ms for the load balancer");
    co_await pause(std::min(m_settings.balancerWait, m_settings.timeout));

    m_server.drain();
    LOG4CXX_INFO(nodeLog(), "shutting down: accepting no new connections, waiting for " << m_openRequests.size() << " open requests");
    co_await waitUntil([this] { return isDrained(); }, deadline - m_settings.handOverTime);
    const std::vector<std::string> aborted = m_openRequests.describe();
    for (const std::string &line : aborted) {
        LOG4CXX_WARN(nodeLog(), "aborted: " << line);
    }
    m_server.closeAll();
    co_await waitUntil([this] { return m_server.openRequests() == 0; }, base::clock::now() + lastAnswerTime);

    co_await handOverLeases(deadline);
    LOG4CXX_INFO(nodeLog(), "shut down, " << aborted.size() << " requests aborted");
    co_return aborted.size();
}

asio::awaitable<void> shutdown_sequence::pause(base::milliseconds duration)
{
    m_timer.expires_after(duration);
    co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> shutdown_sequence::waitUntil(std::function<bool()> condition, base::time_point deadline)
{
    while (!condition() && base::clock::now() < deadline) {
        co_await pause(drainPollInterval);
    }
}

/// The hand-over runs in a separate task, so that a hanging one cannot delay the shutdown beyond its timeout. The objects that the task uses
/// belong to the process, which stops the event loop after run().
asio::awaitable<void> shutdown_sequence::handOverLeases(base::time_point deadline)
{
    if (!m_handOverLeases) {
        co_return;
    }
    const auto isDone = std::make_shared<bool>(false);
    asio::co_spawn(m_timer.get_executor(), m_handOverLeases, [isDone](const std::exception_ptr &exception) {
        *isDone = true;
        if (exception) {
            LOG4CXX_ERROR(nodeLog(), "handing over the leases failed; they remain held until they expire");
        }
    });
    co_await waitUntil([isDone] { return *isDone; }, deadline);
    if (!*isDone) {
        LOG4CXX_WARN(nodeLog(), "the leases were not handed over in time; they remain held until they expire");
    }
}

bool shutdown_sequence::isDrained() const
{
    // An idle connection may still bring a last request.
    return m_openRequests.size() == 0 && m_server.openConnections() == 0;
}

} // namespace chervilbend::node
