#include <chervilbend/net/internal/http_session.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/net/internal/lingering_close.hpp>
#include <chervilbend/net/internal/peer_state.hpp>
#include <chervilbend/net/internal/request_reader.hpp>
#include <chervilbend/net/problem.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// While data of a further request is pending in the socket, a disconnect does not wake a reader and has to be polled for.
constexpr base::milliseconds disconnectPollInterval{250};
/// While the server drains, a caller that has been told that it may send another request has this time to do so.
constexpr base::milliseconds lastRequestWait{250};
/// Time for which what still comes after the last answer, such as a refusal, is read and discarded.
constexpr base::milliseconds maxLingerTime{2'000};

/// Detects a disconnect even while unread data is pending.
bool isConnected(asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_ESTABLISHED;
}

} // namespace

http_session::http_session(std::shared_ptr<http_server> server, asio::ip::tcp::socket socket)
    : m_server(std::move(server))
    , m_connection(std::make_shared<connection>(std::move(socket), m_server->m_limits.headerBytes + connection::maxUnparsedBytes))
    , m_disconnectPollTimer(m_server->m_executor)
{
    m_server->m_sessions.insert(this);
}

http_session::~http_session()
{
    m_server->m_sessions.erase(this);
}

void http_session::start()
{
    asio::co_spawn(
        m_server->m_executor, [self = shared_from_this()] { return self->run(); }, asio::bind_cancellation_slot(m_cancel.slot(), asio::detached));
}

void http_session::drain()
{
    announceDrain();
    if (m_isIdle) {
        m_connection->interruptAfter(lastRequestWait);
    }
}

void http_session::announceDrain()
{
    if (m_exchange) {
        m_exchange->closeAfterAnswer();
    }
}

void http_session::close()
{
    if (m_exchange) {
        m_exchange->cancel(unanswered_reason::aborted);
    }
    if (!m_exchange || m_exchange->isStarted()) {
        m_connection->close();
    }
    // Posted to the event loop: outside of it, Asio defers the signal, and the task may have ended by then.
    asio::post(m_server->m_executor, [self = shared_from_this()] { self->cancelTask(unanswered_reason::aborted); });
}

void http_session::cancelTask(unanswered_reason reason)
{
    if (m_exchange) {
        m_exchange->cancel(reason);
        m_cancel.emit(asio::cancellation_type::terminal);
    }
}

asio::awaitable<void> http_session::run()
{
    const auto self = shared_from_this();
    bool open = true;
    while (open) {
        const std::shared_ptr<http_exchange> exchange = co_await readRequest();
        if (!exchange || !m_connection->socket().is_open()) {
            break;
        }
        m_exchange = exchange;
        if (m_server->m_drainAnnounced) {
            exchange->closeAfterAnswer();
        }
        co_await answer(exchange);
        m_exchange.reset();
        if (!exchange->isFinished()) {
            noteUnanswered(*exchange);
        }
        ++m_requestNumber;
        resetIfTruncated(*exchange);
        open = exchange->isFinished() && exchange->keepAlive();
        const asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
        if (!open && exchange->isFinished() && state.cancelled() == asio::cancellation_type::none) {
            co_await lingeringClose(m_connection, maxLingerTime);
        }
    }
    m_disconnectPollTimer.cancel();
    m_connection->close();
}

/// An HTTP/1.0 answer ends with its connection: an orderly close would make a truncated one look complete.
void http_session::resetIfTruncated(const http_exchange &exchange)
{
    if (exchange.isStarted() && !exchange.isFinished() && exchange.request().version() < 11) {
        boost::system::error_code ignored;
        m_connection->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

void http_session::noteUnanswered(const http_exchange &exchange)
{
    static const log4cxx::LoggerPtr logger = base::partLogger("http");
    const unanswered_reason reason = exchange.cancelReason().value_or(unanswered_reason::brokenOff);
    ++m_server->m_unanswered[static_cast<std::size_t>(reason)];
    const http_request &request = exchange.request();
    LOG4CXX_INFO(logger,
                 base::log_event("unanswered")
                     .with("target", {request.target().data(), request.target().size()})
                     .with("answerBegun", exchange.isStarted())
                     .with("why", toString(reason))
                     .text());
}

asio::awaitable<bool> http_session::waitForRequest()
{
    if (m_connection->buffer().size() > 0) {
        co_return true;
    }
    m_connection->interruptAfter(m_server->m_draining ? lastRequestWait : m_server->m_limits.idleTimeout);
    m_isIdle = true;
    const auto [error] = co_await m_connection->socket().async_wait(asio::ip::tcp::socket::wait_read, awaitTuple);
    m_isIdle = false;
    // A request may have arrived just as the wait ended.
    co_return !error || peerStateOf(m_connection->socket()) == peer_state::hasPendingData;
}

asio::awaitable<std::shared_ptr<http_exchange>> http_session::readRequest()
{
    std::optional<request_reader> reader(std::in_place, m_connection, m_server->m_limits, m_server->m_requestBudget);
    while (!reader->hasBegun()) {
        const bool hasInput = co_await waitForRequest();
        if (!hasInput) {
            co_return nullptr;
        }
        m_connection->interruptAfter(m_server->m_limits.readTimeout);
        const bool isOpen = co_await reader->readBeginning();
        if (!isOpen) {
            co_return nullptr;
        }
    }
    m_connection->interruptAfter(m_server->m_limits.readTimeout);
    const bool isComplete = co_await reader->read();
    if (isComplete) {
        m_connection->neverExpire();
        co_return std::make_shared<http_exchange>(m_connection, reader->takeRequest(), m_server->m_limits.writeTimeout, reader->takeMemory());
    }
    const std::optional<base::reason> refusal = reader->refusal();
    // A refused caller may keep its connection for some time; the request takes no memory meanwhile.
    reader.reset();
    m_connection->buffer().clear();
    m_connection->buffer().shrink_to_fit();
    if (refusal) {
        co_await refuse(*refusal);
    }
    co_return nullptr;
}

asio::awaitable<void> http_session::refuse(base::reason reason)
{
    static const log4cxx::LoggerPtr logger = base::partLogger("http");
    LOG4CXX_INFO(logger, "refused a request: " << reason.text);
    http_response refusal = problemResponse(reason);
    refusal.keep_alive(false);
    refusal.prepare_payload();
    m_connection->expireAfter(m_server->m_limits.writeTimeout);
    const auto [error, size] = co_await http::async_write(m_connection->socket(), refusal, awaitTuple);
    if (!error) {
        co_await lingeringClose(m_connection, maxLingerTime);
    }
}

asio::awaitable<void> http_session::answer(std::shared_ptr<http_exchange> exchange)
{
    ++m_requestNumber;
    watchForDisconnect(m_requestNumber);
    const std::optional<std::string> failure = co_await runHandler(exchange);
    const asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() != asio::cancellation_type::none) {
        if (exchange->cancelReason() == unanswered_reason::aborted && !exchange->isStarted()) {
            co_await asio::this_coro::reset_cancellation_state();
            co_await answerAborted(exchange);
        }
    } else if (failure) {
        static const log4cxx::LoggerPtr logger = base::partLogger("http");
        LOG4CXX_ERROR(logger, "request handler failed: " << *failure);
        const base::reason reason{base::error_kind::internal, "the request's handler failed"};
        co_await exchange->respond(problemResponse(reason));
    }
}

asio::awaitable<std::optional<std::string>> http_session::runHandler(std::shared_ptr<http_exchange> exchange)
{
    std::optional<std::string> failure;
    try {
        co_await m_server->m_handler.handle(exchange);
    } catch (const std::exception &error) {
        failure = error.what();
    }
    co_return failure;
}

asio::awaitable<void> http_session::answerAborted(std::shared_ptr<http_exchange> exchange)
{
    exchange->closeAfterAnswer();
    const base::reason reason{base::error_kind::outcomeUnknown, "the node stops before the request has ended"};
    co_await exchange->respond(problemResponse(reason));
}

/// Waits until the caller disconnects or sends more. The wait is not cancelled when the request has been answered: it then ends with the first bytes of the
/// next request, which saves the cancellation and the system call for a new wait.
void http_session::watchForDisconnect(std::uint64_t requestNumber)
{
    m_connection->socket().async_wait(asio::ip::tcp::socket::wait_read,
                                      [self = shared_from_this(), requestNumber](boost::system::error_code /*error*/) { self->onReadable(requestNumber); });
}

void http_session::onReadable(std::uint64_t requestNumber)
{
    if (requestNumber != m_requestNumber || !m_exchange) {
        return;
    }
    const peer_state state = peerStateOf(m_connection->socket());
    if (state == peer_state::disconnected) {
        cancelTask(unanswered_reason::callerLeft);
    } else if (state == peer_state::connected) {
        watchForDisconnect(requestNumber);
    } else {
        pollForDisconnect(requestNumber);
    }
}

void http_session::pollForDisconnect(std::uint64_t requestNumber)
{
    m_disconnectPollTimer.expires_after(disconnectPollInterval);
    m_disconnectPollTimer.async_wait([self = shared_from_this(), requestNumber](boost::system::error_code error) {
        if (error || requestNumber != self->m_requestNumber || !self->m_exchange) {
            return;
        }
        if (self->m_connection->socket().is_open() && isConnected(self->m_connection->socket())) {
            self->pollForDisconnect(requestNumber);
        } else {
            self->cancelTask(unanswered_reason::callerLeft);
        }
    });
}

} // namespace chervilbend::net
