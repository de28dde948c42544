#include <chervilbend/net/http_client_stream.hpp>

#include <chervilbend/net/connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{
constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
} // namespace

http_client_stream::http_client_stream(std::shared_ptr<connection> endpoint,
                                       base::milliseconds readTimeout,
                                       base::time_point deadline,
                                       return_connection giveBack)
    : m_connection(std::move(endpoint))
    , m_readTimeout(readTimeout)
    , m_deadline(deadline)
    , m_giveBack(std::move(giveBack))
{
    m_parser.body_limit(boost::none);
}

http_client_stream::~http_client_stream()
{
    if (m_parser.is_done() && m_parser.get().keep_alive()) {
        m_connection->neverExpire();
        m_giveBack(std::move(m_connection));
    } else {
        m_connection->close();
    }
}

bool http_client_stream::hasTimedOut() const
{
    return m_connection->hasExpired();
}

void http_client_stream::expireInTime()
{
    m_connection->expireAfter(std::min(m_readTimeout, std::max(m_deadline - base::clock::now(), base::milliseconds(0))));
}

asio::awaitable<bool> http_client_stream::readHeader()
{
    expireInTime();
    const auto [error, size] = co_await http::async_read_header(m_connection->socket(), m_connection->buffer(), m_parser, awaitTuple);
    if (error) {
        fail(base::error_kind::endpointFailed, m_connection->hasExpired() ? "no answer in time" : error.message());
        co_return false;
    }
    co_return true;
}

asio::awaitable<std::optional<std::string_view>> http_client_stream::read()
{
    if (m_parser.is_done()) {
        co_return std::string_view();
    }
    m_parser.get().body().data = m_piece.data();
    m_parser.get().body().size = m_piece.size();
    expireInTime();
    const auto [error, size] = co_await http::async_read_some(m_connection->socket(), m_connection->buffer(), m_parser, awaitTuple);
    if (error && error != http::error::need_buffer) {
        co_return fail(base::error_kind::endpointFailed, m_connection->hasExpired() ? "the stream stalled" : error.message());
    }
    const std::size_t filled = m_piece.size() - m_parser.get().body().size;
    if (filled == 0 && !m_parser.is_done()) {
        // Only framing arrived; the piece is in the next read.
        co_return co_await read();
    }
    co_return std::string_view(m_piece.data(), filled);
}

} // namespace chervilbend::net
