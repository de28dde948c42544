#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace chervilbend::net
{
class http_server;
}

namespace chervilbend::node
{

class open_requests;
class readiness;

/// Time limits for the steps of a planned stop.
struct shutdown_settings {
    /// Time between the change of readiness and the end of new connections, enough for the load balancer to notice the change.
    base::milliseconds balancerWait{5'000};
    /// Maximum time between the first signal and the end of the process.
    base::milliseconds timeout{60'000};
    /// Part of the timeout that is reserved for handing over the leases.
    base::milliseconds handOverTime{3'000};
};

/// Graceful shutdown: reports the node as not ready, waits until the load balancer has noticed, stops accepting connections, waits until the
/// open requests and orders have finished, and hands over the leases. At the timeout the remaining requests are logged and aborted: they get an answer that
/// promises nothing, or their answer breaks off if it has begun.
///
/// The process runs it once, at the first SIGTERM or SIGINT, and stops its event loop when run() has returned. Further signals have no effect: supervisors
/// repeat them, and only SIGKILL is meant to cut requests.
///
///     shutdown_sequence shutdown(executor, ready, *callerServer, openRequests, settings, [&] { return control.handOverLeases(timeout); });
///     signals.async_wait(...): co_spawn(executor, shutdown.run(), [&](auto, std::size_t) { context.stop(); });
class shutdown_sequence
{
public:
    using hand_over_function = std::function<boost::asio::awaitable<void>()>;

    /// All references must outlive run(). @p handOverLeases may be empty.
    shutdown_sequence(const boost::asio::any_io_executor &executor,
                      readiness &ready,
                      net::http_server &server,
                      open_requests &openRequests,
                      shutdown_settings settings,
                      hand_over_function handOverLeases);

    /// Returns the number of requests and orders that were aborted.
    boost::asio::awaitable<std::size_t> run();

private:
    boost::asio::awaitable<void> pause(base::milliseconds duration);
    boost::asio::awaitable<void> waitUntil(std::function<bool()> condition, base::time_point deadline);
    boost::asio::awaitable<void> handOverLeases(base::time_point deadline);
    bool isDrained() const;

    readiness &m_readiness;
    net::http_server &m_server;
    open_requests &m_openRequests;
    shutdown_settings m_settings;
    hand_over_function m_handOverLeases;
    net::timer m_timer;
};

} // namespace chervilbend::node
