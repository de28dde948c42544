#include <chervilbend/net/internal/http_session.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/net/problem.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace asio = boost::asio;
using namespace boost::asio::experimental::awaitable_operators;

namespace chervilbend::net
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

base::reason reasonForReadError(const boost::system::error_code &error, bool expired)
{
    if (expired) {
        return {base::error_kind::requestTimeout, "the request did not arrive in time"};
    }
    if (error == http::error::header_limit) {
        return {base::error_kind::headerTooLarge, "the request header exceeds the limit"};
    }
    if (error == http::error::body_limit) {
        return {base::error_kind::bodyTooLarge, "the request body exceeds the limit"};
    }
    return {base::error_kind::badRequest, "the request is malformed: " + error.message()};
}

/// Whether the request was malformed, as opposed to the connection having ended.
bool isProtocolError(const boost::system::error_code &error)
{
    return error.category() == make_error_code(http::error::header_limit).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
}

} // namespace

http_session::http_session(std::shared_ptr<http_server> server, asio::ip::tcp::socket socket)
    : m_server(std::move(server))
    , m_connection(std::make_shared<connection>(std::move(socket)))
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
        m_server->m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void http_session::closeIfIdle()
{
    if (!m_busy) {
        close();
    }
}

void http_session::close()
{
    m_connection->close();
}

asio::awaitable<void> http_session::run()
{
    const auto self = shared_from_this();
    while (m_connection->socket().is_open()) {
        const std::shared_ptr<http_exchange> exchange = co_await readRequest();
        if (!exchange) {
            break;
        }
        m_busy = true;
        if (m_server->m_draining) {
            exchange->closeAfterAnswer();
        }
        co_await answer(exchange);
        m_busy = false;
        if (!exchange->isFinished() || !exchange->keepAlive() || m_server->m_draining) {
            break;
        }
    }
    m_connection->close();
}

asio::awaitable<std::shared_ptr<http_exchange>> http_session::readRequest()
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(m_server->m_limits.headerBytes);
    parser.body_limit(m_server->m_limits.bodyBytes);

    // Until the first byte arrives the connection is idle; from then on the request must arrive in time.
    if (m_connection->buffer().size() == 0) {
        m_connection->expireAfter(m_server->m_limits.idleTimeout);
        const auto [waitError] = co_await m_connection->socket().async_wait(asio::ip::tcp::socket::wait_read, awaitTuple);
        if (waitError) {
            co_return nullptr;
        }
    }
    m_connection->expireAfter(m_server->m_limits.readTimeout);
    auto [error, size] = co_await http::async_read_header(m_connection->socket(), m_connection->buffer(), parser, awaitTuple);
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(m_connection->socket(), proceed, awaitTuple);
    }
    if (!error) {
        std::tie(error, size) = co_await http::async_read(m_connection->socket(), m_connection->buffer(), parser, awaitTuple);
    }
    if (!error) {
        m_connection->neverExpire();
        co_return std::make_shared<http_exchange>(m_connection, parser.release(), m_server->m_limits.writeTimeout);
    }
    if (isProtocolError(error)) {
        http_response refusal = problemResponse(reasonForReadError(error, m_connection->hasExpired()));
        refusal.version(11);
        refusal.keep_alive(false);
        refusal.prepare_payload();
        co_await http::async_write(m_connection->socket(), refusal, awaitTuple);
    }
    co_return nullptr;
}

asio::awaitable<void> http_session::answer(std::shared_ptr<http_exchange> exchange)
{
    try {
        co_await (m_server->m_handler.handle(exchange) || waitForDisconnect());
    } catch (const std::exception &) {
        // A cancelled handler ends here; the connection is closed because the exchange is not finished.
    }
}

asio::awaitable<void> http_session::waitForDisconnect()
{
    const auto [waitError] = co_await m_connection->socket().async_wait(asio::ip::tcp::socket::wait_read, awaitTuple);
    if (waitError) {
        co_return;
    }
    boost::system::error_code error;
    const std::size_t waiting = m_connection->socket().available(error);
    if (error || waiting == 0) {
        co_return;
    }
    // A pipelined request waits in the socket: stop watching, and leave the end of this wait to the handler's completion.
    timer never(co_await asio::this_coro::executor);
    never.expires_at(base::time_point::max());
    co_await never.async_wait(awaitTuple);
}

} // namespace chervilbend::net
