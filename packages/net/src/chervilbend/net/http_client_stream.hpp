#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace chervilbend::net
{

class connection;
struct http_send_options;

/// The answer to a request whose body arrives piece by piece.
class http_client_stream : public base::reason_holder
{
public:
    /// Takes a connection that can be used again, and how long the peer keeps it open while it is idle.
    using return_connection = std::function<void(std::shared_ptr<connection>, base::milliseconds)>;

    http_client_stream(std::shared_ptr<connection> endpoint, const http_send_options &options, bool headOnly, return_connection giveBack);
    ~http_client_stream();
    http_client_stream(const http_client_stream &) = delete;
    http_client_stream &operator=(const http_client_stream &) = delete;

    /// Reads the header. False with a last reason when the connection fails or the answer is malformed.
    boost::asio::awaitable<bool> readHeader();

    /// Throws the rest of this answer away and reads the header of the next one on the connection, for an answer that was not meant for the
    /// request. False as for readHeader(), and when this answer does not say where it ends.
    boost::asio::awaitable<bool> skipToNextAnswer();

    const http::response_header<> &header() const
    {
        return m_parser->get().base();
    }

    /// The next piece of the body, valid until the next call; an empty piece is the end. No value when the connection fails.
    boost::asio::awaitable<std::optional<std::string_view>> read();

    /// Whether the answer marks its own end, by its length, its last chunk or its status. Otherwise its end and a break look alike.
    bool isSelfDelimiting() const
    {
        return !m_parser->need_eof();
    }

    /// Whether a read failed because time was up, rather than because the connection broke.
    bool hasTimedOut() const;

private:
    void expireInTime();
    /// After an operation that ended for lack of time: whether to wait on.
    bool waitsOn(const boost::system::error_code &error) const;
    base::milliseconds idleLimit() const;
    void startParser();
    std::nullopt_t failFor(const boost::system::error_code &error);

    std::shared_ptr<connection> m_connection;
    base::milliseconds m_readTimeout;
    base::time_point m_deadline;
    std::function<bool()> m_keepWaiting;
    return_connection m_giveBack;
    bool m_headOnly;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, 16 * 1024> m_piece;
};

} // namespace chervilbend::net
