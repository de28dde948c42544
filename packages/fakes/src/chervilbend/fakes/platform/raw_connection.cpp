#include <chervilbend/fakes/platform/raw_connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <cstdint>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

namespace
{
constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t maxHeaderBytes = 64 * 1024;

/// Whether the error comes from the parser, and not from the connection or its end.
bool isMalformation(const boost::system::error_code &error)
{
    return error && error.category() == make_error_code(net::http::error::bad_target).category() && error != net::http::error::end_of_stream
        && error != net::http::error::partial_message;
}

} // namespace

raw_connection::raw_connection(asio::ip::tcp::socket connected)
    : m_socket(std::move(connected))
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<bool> raw_connection::readHeader()
{
    m_parser.emplace();
    m_parser->body_limit(maxBodyBytes);
    m_parser->header_limit(maxHeaderBytes);
    const auto [error, size] = co_await net::http::async_read_header(m_socket, m_buffer, *m_parser, awaitTuple);
    m_isMalformed = isMalformation(error);
    co_return !error;
}

asio::awaitable<bool> raw_connection::readBody()
{
    if (m_parser->is_done()) {
        co_return true;
    }
    const auto [error, size] = co_await net::http::async_read(m_socket, m_buffer, *m_parser, awaitTuple);
    m_isMalformed = isMalformation(error);
    co_return !error;
}

asio::awaitable<bool> raw_connection::writeAll(std::string bytes)
{
    const auto [error, size] = co_await asio::async_write(m_socket, asio::buffer(bytes), awaitTuple);
    co_return !error;
}

bool raw_connection::write(std::string_view bytes)
{
    return m_socket.is_open()
        && ::send(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(bytes.size());
}

bool raw_connection::hasCallerLeft()
{
    char byte = 0;
    const ssize_t size = m_socket.is_open() ? ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) : 0;
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void raw_connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void raw_connection::reset()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace chervilbend::fakes
