#pragma once

#include <chervilbend/base/byte_reservation.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_server_limits.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace chervilbend::net
{

/// Reads one request from a caller's connection.
///
/// Memory beyond a small size for each connection comes from a budget of the whole server: many callers that leave their requests unfinished cannot fill the
/// memory together, and short requests are still read when the budget is used up.
class request_reader
{
public:
    request_reader(std::shared_ptr<connection> caller, const http_server_limits &limits, std::shared_ptr<base::byte_budget> budget);

    /// Discards empty lines before the request (RFC 9112, section 2.2). Returns whether the buffer has bytes of the request.
    bool hasBegun();
    /// Reads the first bytes of the request. False if the connection has ended or expired.
    boost::asio::awaitable<bool> readBeginning();

    /// Reads the request to its end. If it returns false, refusal() has the answer that the caller is to get, if any.
    boost::asio::awaitable<bool> read();

    const std::optional<base::reason> &refusal() const
    {
        return m_refusal;
    }

    /// The request; after read() has returned true.
    http_request takeRequest()
    {
        return m_parser.release();
    }

    /// What the request takes from the budget.
    std::unique_ptr<base::byte_reservation> takeMemory()
    {
        return std::move(m_memory);
    }

private:
    boost::asio::awaitable<bool> readHeader();
    boost::asio::awaitable<bool> readBody();
    /// False, with a refusal, if the request must not be read any further.
    boost::asio::awaitable<bool> acceptHeader();
    /// The fields of the header, sorted by their addresses, which stay the same while others are added. Only those of a chunked request, which may have a
    /// trailer.
    std::vector<const http::fields::value_type *> headerFields() const;
    /// Beast adds the fields of a trailer to the header, but they have come without the checks of the header (RFC 9110, section 6.5.1).
    void discardTrailer(const std::vector<const http::fields::value_type *> &headerFields);
    /// Lets the read buffer become longer. False, perhaps with a refusal, if it may not.
    bool growBuffer();
    /// Gives back what the read buffer does not need any more.
    void shrinkBuffer();
    bool reserve(std::size_t bodyBytes);
    bool refuse(base::reason reason);
    bool refuseFor(const boost::system::error_code &error);

    std::shared_ptr<connection> m_connection;
    const http_server_limits &m_limits;
    std::unique_ptr<base::byte_reservation> m_memory;
    http::request_parser<http::string_body> m_parser;
    /// Memory of the header beyond the size that each connection has.
    std::size_t m_longHeaderBytes = 0;
    std::optional<base::reason> m_refusal;
};

} // namespace chervilbend::net
