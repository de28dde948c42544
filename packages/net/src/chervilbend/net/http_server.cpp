#include <chervilbend/net/http_server.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/internal/http_session.hpp>
#include <chervilbend/net/internal/lingering_close.hpp>
#include <chervilbend/net/problem.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <limits>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

constexpr base::milliseconds acceptRetryDelay{100};
/// Connections that are accepted in one turn of the event loop. One a turn would make a new connection wait for a request of each connection before it,
/// once for every connection in the queue.
constexpr std::size_t acceptsPerTurn = 64;
constexpr base::milliseconds listenRetryInterval{100};
/// One warning in ten seconds.
constexpr int attemptsPerWarning = 100;

/// Connections beyond the limit that are being refused at a time. For one more, the oldest is closed.
constexpr std::size_t maxOpenRefusals = 64;
/// Time in which a refused caller can send its request and read the answer.
constexpr base::milliseconds refusalTime{500};
/// One warning for so many refused connections.
constexpr std::uint64_t refusalsPerWarning = 1'000;

/// Answer to connections beyond the limit.
const std::string &connectionLimitAnswer()
{
    static const std::string text = [] {
        http_response refusal = problemResponse({base::error_kind::overloaded, "the node has reached its limit of connections"});
        refusal.keep_alive(false);
        refusal.prepare_payload();
        std::ostringstream stream;
        stream << refusal;
        return stream.str();
    }();
    return text;
}

} // namespace

http_server::http_server(const asio::any_io_executor &executor, http_handler &handler, http_server_limits limits)
    : m_executor(executor)
    , m_handler(handler)
    , m_limits(limits)
    , m_requestBudget(std::make_shared<base::byte_budget>(limits.allRequestsBytes))
    , m_acceptor(executor)
    , m_acceptRetryTimer(executor)
{
}

http_server::~http_server() = default;

std::optional<std::uint16_t> http_server::listen(const address &localAddress)
{
    if (tryToListen(localAddress)) {
        return std::nullopt;
    }
    return m_acceptor.local_endpoint().port();
}

boost::system::error_code http_server::tryToListen(const address &localAddress)
{
    boost::system::error_code error;
    const auto ipAddress = asio::ip::make_address(localAddress.ip, error);
    if (error) {
        fail(base::error_kind::settingInvalid, "not an IP address: " + localAddress.ip);
        return error;
    }
    const asio::ip::tcp::endpoint endpoint(ipAddress, localAddress.port);
    boost::system::error_code ignored;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ignored);
        // Accepted connections inherit it.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(connection::receiveBufferBytes), ignored);
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        m_acceptor.close(ignored);
        fail(base::error_kind::settingInvalid, "cannot listen on " + toString(localAddress) + ": " + error.message());
        return error;
    }
    startAccepting();
    return error;
}

asio::awaitable<bool> http_server::listenWhenFree(address localAddress)
{
    static const log4cxx::LoggerPtr logger = base::partLogger("http");
    const auto self = shared_from_this();
    for (int attempt = 0; !m_draining; ++attempt) {
        const boost::system::error_code error = tryToListen(localAddress);
        if (error != asio::error::address_in_use) {
            co_return !error;
        }
        if (attempt % attemptsPerWarning == 0) {
            LOG4CXX_WARN(logger, lastReason().text << ", trying again");
        }
        co_await sleepFor(listenRetryInterval);
    }
    co_return false;
}

void http_server::announceDrain()
{
    m_drainAnnounced = true;
    const std::vector<http_session *> sessions(m_sessions.begin(), m_sessions.end());
    for (http_session *session : sessions) {
        session->announceDrain();
    }
}

void http_server::drain()
{
    m_drainAnnounced = true;
    m_draining = true;
    // All of them: they would be reset with the acceptor, and they may have sent their requests.
    acceptPending(std::numeric_limits<std::size_t>::max());
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
    const std::vector<http_session *> sessions(m_sessions.begin(), m_sessions.end());
    for (http_session *session : sessions) {
        session->drain();
    }
}

void http_server::closeAll()
{
    drain();
    m_closed = true;
    const std::vector<http_session *> sessions(m_sessions.begin(), m_sessions.end());
    for (http_session *session : sessions) {
        session->close();
    }
}

std::size_t http_server::openRequests() const
{
    return static_cast<std::size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const http_session *session) { return session->isBusy(); }));
}

void http_server::startAccepting()
{
    m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, asio::ip::tcp::socket socket) {
        // Asio may have accepted this connection before drain() closed the acceptor.
        if (!error && !self->m_closed) {
            self->serve(std::move(socket));
        }
        if (!self->m_acceptor.is_open()) {
            return;
        }
        if (error) {
            // Without free file descriptors, every accept fails at once while the connection stays in the queue; the delay prevents a busy loop.
            self->m_acceptRetryTimer.expires_after(acceptRetryDelay);
            self->m_acceptRetryTimer.async_wait([self](boost::system::error_code) {
                if (self->m_acceptor.is_open()) {
                    self->startAccepting();
                }
            });
            return;
        }
        self->acceptPending(acceptsPerTurn - 1);
        self->startAccepting();
    });
}

void http_server::serve(asio::ip::tcp::socket socket)
{
    if (m_sessions.size() >= m_limits.connections) {
        refuseConnection(std::move(socket));
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    std::make_shared<http_session>(shared_from_this(), std::move(socket))->start();
}

void http_server::refuseConnection(asio::ip::tcp::socket socket)
{
    static const log4cxx::LoggerPtr logger = base::partLogger("http");
    if (m_refusedConnections % refusalsPerWarning == 0) {
        LOG4CXX_WARN(logger, base::log_event("connectionsRefused").with("limit", m_limits.connections).with("before", m_refusedConnections).text());
    }
    ++m_refusedConnections;
    const auto refused = std::make_shared<connection>(std::move(socket));
    m_refusals.push_back(refused);
    if (m_refusals.size() > maxOpenRefusals) {
        m_refusals.front()->close();
        m_refusals.pop_front();
    }
    const auto refuse = [refused]() -> asio::awaitable<void> {
        refused->expireAfter(refusalTime);
        co_await asio::async_write(refused->socket(), asio::buffer(connectionLimitAnswer()), asio::as_tuple(asio::use_awaitable));
        co_await lingeringClose(refused, refusalTime);
        refused->close();
    };
    asio::co_spawn(m_executor, refuse, [self = shared_from_this(), refused](const std::exception_ptr &) { self->m_refusals.remove(refused); });
}

void http_server::acceptPending(std::size_t most)
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    for (std::size_t accepted = 0; !error && accepted < most; ++accepted) {
        asio::ip::tcp::socket socket(m_executor);
        m_acceptor.accept(socket, error);
        if (!error) {
            serve(std::move(socket));
        }
    }
}

} // namespace chervilbend::net
