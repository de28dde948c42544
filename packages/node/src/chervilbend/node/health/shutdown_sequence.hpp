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

/// How long the steps of a planned stop may take.
struct shutdown_settings {
    /// From the change of readiness until the load balancer has surely seen it.
    base::milliseconds balancerWait{5'000};
    /// From the first signal to the end of the process.
    base::milliseconds bound{60'000};
    /// Part of the bound that is kept for handing over the leases.
    base::milliseconds handOverTime{3'000};
};

/// A planned stop: readiness goes off, the load balancer gets time to see it, no new connections are taken, open requests and orders are
/// finished, the leases are handed over. At the bound, or at a second signal, what is left is cut off and logged.
///
/// The composition runs it once, at the first SIGTERM or SIGINT, calls cutOff() at the second, and stops its event loop when run() has ended:
///
///     shutdown_sequence stop(executor, ready, *callersServer, open, settings, [&] { return leases.handOverAll(); });
///     signals.async_wait(...): first:  co_spawn(executor, stop.run(), [&](auto, std::size_t) { context.stop(); });
///                              second: stop.cutOff();
class shutdown_sequence
{
public:
    using hand_over = std::function<boost::asio::awaitable<void>()>;

    /// All collaborators must outlive run(). @p handOver may be empty.
    shutdown_sequence(const boost::asio::any_io_executor &executor,
                      readiness &ready,
                      net::http_server &server,
                      open_requests &open,
                      shutdown_settings settings,
                      hand_over handOver);

    /// Gives the number of requests and orders that were cut off.
    boost::asio::awaitable<std::size_t> run();

    /// Ends the waits of run(): what is still open is logged and cut off.
    void cutOff();

private:
    boost::asio::awaitable<void> pause(base::milliseconds duration);
    boost::asio::awaitable<void> finishRequests(base::time_point end);
    boost::asio::awaitable<void> handOver(base::time_point end);
    bool isDrained() const;

    readiness &m_readiness;
    net::http_server &m_server;
    open_requests &m_open;
    shutdown_settings m_settings;
    hand_over m_handOver;
    net::timer m_timer;
    bool m_cut = false;
};

} // namespace chervilbend::node
