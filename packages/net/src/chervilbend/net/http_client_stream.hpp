#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace chervilbend::net
{

class connection;
struct http_send_options;

/// The answer to a request; its body is read incrementally. Its connection serves another request only after the end of the body has been read.
class http_client_stream : public base::reason_holder
{
public:
    /// Takes a connection that can be reused, and the time for which it may stay idle.
    using release_callback = std::function<void(std::shared_ptr<connection>, base::milliseconds)>;

    /// @p writtenBytes is the size of the request; @p isFirstRequest tells whether no other request was sent on the connection before.
    http_client_stream(std::shared_ptr<connection> endpoint,
                       const http_send_options &options,
                       std::size_t writtenBytes,
                       bool headOnly,
                       bool isFirstRequest,
                       release_callback release);
    ~http_client_stream();
    http_client_stream(const http_client_stream &) = delete;
    http_client_stream &operator=(const http_client_stream &) = delete;

    /// Reads the header, after those of interim answers. False with a last reason when the connection fails, or the answer is malformed or has a status that is
    /// not from 200 to 599.
    boost::asio::awaitable<bool> readHeader();

    /// Discards the rest of this answer and reads the header of the next one on the connection, for an answer that belongs to another request. The connection
    /// is not kept then. False as for readHeader(), and when this answer is not self-delimiting or very long.
    boost::asio::awaitable<bool> skipToNextAnswer();

    const http::response_header<> &header() const
    {
        return m_parser->get().base();
    }

    /// Reads the next part of the body. The view is valid until the next call, and empty at the end of the body. No value when the connection fails.
    boost::asio::awaitable<std::optional<std::string_view>> read();

    /// Whether the end of the answer follows from its length, its last chunk or its status. Otherwise it ends with the connection, and a complete answer cannot
    /// be distinguished from a truncated one.
    bool isSelfDelimiting() const
    {
        return !m_parser->need_eof();
    }

    /// Closes the connection with this answer instead of keeping it for another request. For answers that the peer may write once more: the copy would be taken
    /// for the answer to the next request, or for a part of it.
    void closeAfterAnswer()
    {
        m_isReusable = false;
    }

    /// Whether the request is the first one on its connection.
    bool isFirstRequest() const
    {
        return m_isFirstRequest;
    }

    /// Number of the connection among those of its client, for log lines.
    std::int64_t connectionNumber() const;

    /// Whether a read failed because of a timeout rather than a broken connection.
    bool hasTimedOut() const;

    /// Whether a read failed because http_send_options::keepWaiting ended the wait. The connection is still open then, and the wait may be taken up again.
    bool wasGivenUp() const
    {
        return m_wasGivenUp;
    }

    /// Whether bytes that have not been read have come after a wait that was given up.
    bool hasInput() const;
    /// From now on only the deadline ends the waits.
    void waitUntilDeadline();

private:
    void reserveForBody();
    /// The deadline, moved by the bytes that have been transferred.
    base::time_point transferDeadline() const;
    void armReadDeadline();
    /// Whether to repeat an operation that has timed out.
    bool shouldKeepWaiting(const boost::system::error_code &error);
    base::milliseconds idleLimit() const;
    void resetParser();
    std::nullopt_t failWith(const boost::system::error_code &error);

    std::shared_ptr<connection> m_connection;
    base::milliseconds m_readTimeout;
    base::milliseconds m_bodyStallTimeout;
    base::time_point m_deadline;
    std::int64_t m_slowestTransfer;
    std::int64_t m_transferredBytes;
    std::function<bool()> m_keepWaiting;
    release_callback m_release;
    bool m_headOnly;
    bool m_isFirstRequest;
    bool m_isReusable = true;
    bool m_hasReadEnd = false;
    bool m_wasGivenUp = false;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, 16 * 1024> m_readBuffer;
};

} // namespace chervilbend::net
