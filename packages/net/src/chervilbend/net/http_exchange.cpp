#include <chervilbend/net/http_exchange.hpp>

#include <chervilbend/net/address.hpp>
#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/internal/peer_state.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <tuple>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{
constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
} // namespace

http_exchange::http_exchange(std::shared_ptr<connection> caller,
                             http_request request,
                             base::milliseconds writeTimeout,
                             std::unique_ptr<base::byte_reservation> bodyMemory)
    : m_connection(std::move(caller))
    , m_request(std::move(request))
    , m_bodyMemory(std::move(bodyMemory))
    , m_writeTimeout(writeTimeout)
    , m_keepAlive(m_request.keep_alive())
{
}

std::string http_exchange::remoteAddress() const
{
    boost::system::error_code error;
    const auto remote = m_connection->socket().remote_endpoint(error);
    return error ? "gone" : toString({remote.address().to_string(), remote.port()});
}

bool http_exchange::callerHasDisconnected() const
{
    return peerStateOf(m_connection->socket()) == peer_state::disconnected;
}

void http_exchange::addDefaultFields(http::fields &answer) const
{
    for (const http::fields::value_type &field : m_defaultFields) {
        if (answer.count(field.name_string()) == 0) {
            answer.set(field.name_string(), field.value());
        }
    }
}

asio::awaitable<bool> http_exchange::respond(http_response response)
{
    if (m_started) {
        co_return false;
    }
    m_started = true;
    addDefaultFields(response);
    response.version(11);
    response.keep_alive(m_keepAlive);
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    m_connection->expireAfter(m_writeTimeout);
    boost::system::error_code error;
    std::size_t size = 0;
    if (m_request.method() == http::verb::head) {
        std::tie(error, size) = co_await http::async_write_header(m_connection->socket(), serializer, awaitTuple);
    } else {
        std::tie(error, size) = co_await http::async_write(m_connection->socket(), serializer, awaitTuple);
    }
    m_connection->neverExpire();
    m_finished = !error;
    co_return m_finished;
}

asio::awaitable<bool> http_exchange::startStream(http::response<http::empty_body> header)
{
    if (m_started) {
        co_return false;
    }
    m_started = true;
    addDefaultFields(header);
    header.version(11);
    header.keep_alive(m_keepAlive);
    if (m_request.version() < 11) {
        // HTTP/1.0 has no chunked encoding: the answer ends with the connection.
        m_keepAlive = false;
        header.keep_alive(false);
    } else {
        header.chunked(true);
    }
    http::response_serializer<http::empty_body> serializer(header);
    m_connection->expireAfter(m_writeTimeout);
    const auto [error, size] = co_await http::async_write_header(m_connection->socket(), serializer, awaitTuple);
    m_connection->neverExpire();
    co_return !error;
}

asio::awaitable<bool> http_exchange::writeChunk(std::string_view chunk)
{
    if (chunk.empty() || m_request.method() == http::verb::head) {
        // An empty chunk would end the stream.
        co_return true;
    }
    m_connection->expireAfter(m_writeTimeout);
    boost::system::error_code error;
    std::size_t size = 0;
    if (m_request.version() < 11) {
        std::tie(error, size) = co_await asio::async_write(m_connection->socket(), asio::buffer(chunk), awaitTuple);
    } else {
        std::tie(error, size) = co_await asio::async_write(m_connection->socket(), http::make_chunk(asio::buffer(chunk)), awaitTuple);
    }
    // The time until the next chunk depends on the source, not on the caller.
    m_connection->neverExpire();
    co_return !error;
}

asio::awaitable<bool> http_exchange::finishStream()
{
    if (m_request.version() < 11 || m_request.method() == http::verb::head) {
        m_finished = true;
        co_return true;
    }
    m_connection->expireAfter(m_writeTimeout);
    const auto [error, size] = co_await asio::async_write(m_connection->socket(), http::make_chunk_last(), awaitTuple);
    m_connection->neverExpire();
    m_finished = !error;
    co_return m_finished;
}

} // namespace chervilbend::net
