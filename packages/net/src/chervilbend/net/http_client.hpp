#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace chervilbend::net
{

class connection;
class http_client_stream;

/// Options for sending one request.
struct http_send_options {
    /// Bounds the exchange by its progress instead of its length: the server begins to answer within @p timeout, after holding the request for @p wait, and
    /// goes on within @p timeout after each byte. A transfer that is slower than slowestUsefulTransfer ends.
    void boundByProgress(base::milliseconds timeout, base::milliseconds wait);

    base::milliseconds connectTimeout{1'000};
    /// Until the header of the answer has arrived, and then for each read of its body.
    base::milliseconds answerTimeout{30'000};
    /// Called when answerTimeout has passed without data, read or unread, before the deadline; true waits for another answerTimeout. An empty function means
    /// false.
    std::function<bool()> keepWaiting;
    /// Called by send() each time that a part of the body of the answer has arrived. May be empty.
    std::function<void()> bodyArriving;
    /// Longest time without a byte of the body of the answer, if that is shorter than answerTimeout.
    base::milliseconds bodyStallTimeout = base::milliseconds::max();
    /// End of the whole exchange, including all reads of a stream.
    base::time_point deadline = base::time_point::max();
    /// Slowest transfer of the bodies, in bytes per ms: each byte of them that is written or arrives moves the deadline by the time that it takes at this
    /// rate, so that a long message may take longer than a short one. 0: the deadline does not move.
    std::int64_t slowestTransfer = 0;
    /// Bytes per ms. The links of small hosts carry ten times as much or more, but an answer shares them with callers' requests.
    static constexpr std::int64_t slowestUsefulTransfer = 32;
    /// Maximum size of the body of an answer that send() collects.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
    /// Uses a connection that carries nothing else, before or after. A pooled one may turn out to be closed only after the request was written; it is then
    /// unknown whether the request was executed. And where answers don't say which request they belong to, a copy of another one can't be told from them.
    bool freshConnection = false;
    /// Maximum idle time of a pooled connection. A peer may have dropped an idle connection silently.
    base::milliseconds maxIdleTime{60'000};
};

/// Sends HTTP/1.1 requests over pooled connections. The pool keeps a bounded number of idle connections per address.
class http_client : public base::reason_holder
{
public:
    http_client();
    ~http_client();

    /// Sends a request and reads the whole answer. A connection is not kept after a refusal, which the peer may write once more. Without a value, lastReason()
    /// has the kind endpointRefused when nothing was written, otherwise endpointFailed or endpointInvalidAnswer.
    boost::asio::awaitable<std::optional<http_response>> send(address server, http_request request, http_send_options options = {});

    /// Sends a request and reads the header of the answer; the body is read from the stream, which also decides whether the connection is kept. Destroying the
    /// stream before its end closes the connection, which cancels the work at the endpoint.
    boost::asio::awaitable<std::shared_ptr<http_client_stream>> open(address server, http_request request, http_send_options options = {});

    void closeIdleConnections();

    /// Number of connections opened since the start.
    std::int64_t connectionsOpened() const
    {
        return m_opened;
    }

    /// Whether the last call without a value failed because of a timeout rather than a broken connection.
    bool hasTimedOut() const
    {
        return m_timedOut;
    }
    /// Whether the last connection could not be tried, because this process could open no socket.
    bool hasFailedLocally() const
    {
        return m_hasFailedLocally;
    }

private:
    friend class http_client_stream;

    boost::asio::awaitable<std::shared_ptr<connection>> connect(address server, http_send_options options);
    std::shared_ptr<connection> takeIdleConnection(const address &server, base::milliseconds maxIdleTime);

    struct idle_connection {
        std::shared_ptr<connection> pooled;
        base::time_point since;
    };

    std::shared_ptr<std::map<address, std::vector<idle_connection>>> m_idle;
    bool m_timedOut = false;
    bool m_hasFailedLocally = false;
    std::int64_t m_opened = 0;
};

} // namespace chervilbend::net
