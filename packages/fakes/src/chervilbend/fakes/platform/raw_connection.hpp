#pragma once

#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::fakes
{

/// A caller's connection to a stand-in, which reads requests and may write any bytes at any time.
class raw_connection
{
public:
    explicit raw_connection(boost::asio::ip::tcp::socket connected);

    /// Reads the header of the next request. False if the caller has closed, or has sent something else.
    boost::asio::awaitable<bool> readHeader();
    /// Reads the rest of the request. False as for readHeader().
    boost::asio::awaitable<bool> readBody();

    const net::http_request &request() const
    {
        return m_parser->get();
    }

    /// Whether the caller has sent something that is no HTTP request.
    bool isMalformed() const
    {
        return m_isMalformed;
    }

    /// Writes all, as fast as the caller reads. False if the caller is gone.
    boost::asio::awaitable<bool> writeAll(std::string bytes);
    /// Writes without waiting. False if the caller is gone or does not read.
    bool write(std::string_view bytes);
    /// Whether the caller has closed its side.
    bool hasCallerLeft();

    void close();
    /// Closes with a reset.
    void reset();

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    bool m_isMalformed = false;
    std::optional<net::http::request_parser<net::http::string_body>> m_parser;
};

} // namespace chervilbend::fakes
