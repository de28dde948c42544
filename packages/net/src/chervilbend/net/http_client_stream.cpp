#include <chervilbend/net/http_client_stream.hpp>

#include <chervilbend/net/answer_status.hpp>
#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/internal/message_framing.hpp>
#include <chervilbend/net/internal/peer_state.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{
constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
/// Twice the limit of the server, because services add header fields of their own.
constexpr std::uint32_t maxHeaderBytes = 32 * 1024;
/// For peers that send no Keep-Alive timeout: shorter than the 5 s after which common servers close an idle connection. When a request is written just as the
/// server closes the connection, it is unknown whether the request was executed.
constexpr base::milliseconds defaultIdleLimit{4'000};
/// Subtracted from the peer's Keep-Alive timeout, to allow for the time that a request is in transit.
constexpr base::milliseconds idleMargin{700};
/// Upper bound of the buffer that is reserved for a body of known length.
constexpr std::uint64_t maxReservedBytes = connection::maxUnparsedBytes;
/// Bytes of the body of an answer to another request that are read to reach the expected one.
constexpr std::size_t maxSkippedBytes = 4 * 1024 * 1024;
/// Maximum number of interim answers to one request. A peer that sends them without end would occupy the event loop until the deadline.
constexpr int maxInterimAnswers = 16;
} // namespace

http_client_stream::http_client_stream(std::shared_ptr<connection> endpoint,
                                       const http_send_options &options,
                                       std::size_t writtenBytes,
                                       bool headOnly,
                                       bool isFirstRequest,
                                       release_callback release)
    : m_connection(std::move(endpoint))
    , m_readTimeout(options.answerTimeout)
    , m_bodyStallTimeout(options.bodyStallTimeout)
    , m_deadline(options.deadline)
    , m_slowestTransfer(options.slowestTransfer)
    , m_transferredBytes(static_cast<std::int64_t>(writtenBytes))
    , m_keepWaiting(options.keepWaiting)
    , m_release(std::move(release))
    , m_headOnly(headOnly)
    , m_isFirstRequest(isFirstRequest)
{
    resetParser();
}

http_client_stream::~http_client_stream()
{
    // An answer that was not read to its end may be a refusal whose copy the next request would take for its answer.
    if (m_isReusable && m_hasReadEnd && m_parser->get().keep_alive()) {
        m_connection->neverExpire();
        m_release(std::move(m_connection), idleLimit());
    } else {
        m_connection->close();
    }
}

base::milliseconds http_client_stream::idleLimit() const
{
    constexpr std::int64_t millisecondsPerSecond = 1'000;
    constexpr std::string_view parameter = "timeout=";
    const auto field = header()[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    const std::size_t found = text.find(parameter);
    std::int64_t seconds = 0;
    if (found == std::string_view::npos || std::from_chars(text.data() + found + parameter.size(), text.data() + text.size(), seconds).ec != std::errc{}) {
        return defaultIdleLimit;
    }
    return std::max(base::milliseconds(seconds * millisecondsPerSecond) - idleMargin, base::milliseconds(0));
}

std::int64_t http_client_stream::connectionNumber() const
{
    return m_connection->number();
}

bool http_client_stream::hasTimedOut() const
{
    return m_connection->hasExpired();
}

void http_client_stream::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_headOnly);
}

base::time_point http_client_stream::transferDeadline() const
{
    return m_slowestTransfer > 0 ? m_deadline + base::milliseconds(m_transferredBytes / m_slowestTransfer) : m_deadline;
}

void http_client_stream::armReadDeadline()
{
    const base::milliseconds remaining = std::max(transferDeadline() - base::clock::now(), base::milliseconds(0));
    if (m_keepWaiting && m_readTimeout < remaining) {
        m_connection->interruptAfter(m_readTimeout);
    } else {
        m_connection->expireAfter(std::min(m_readTimeout, remaining));
    }
}

bool http_client_stream::shouldKeepWaiting(const boost::system::error_code &error)
{
    const bool isInterrupted = error == asio::error::operation_aborted && m_connection->hasExpired() && m_connection->socket().is_open() && m_keepWaiting;
    // Data may have come while the event loop was busy; then the peer was not silent.
    m_wasGivenUp = isInterrupted && !hasInput() && !m_keepWaiting();
    return isInterrupted && !m_wasGivenUp;
}

bool http_client_stream::hasInput() const
{
    return peerStateOf(m_connection->socket()) == peer_state::hasPendingData;
}

void http_client_stream::waitUntilDeadline()
{
    m_keepWaiting = nullptr;
    m_readTimeout = base::milliseconds::max();
}

std::nullopt_t http_client_stream::failWith(const boost::system::error_code &error)
{
    if (m_wasGivenUp) {
        return fail(base::error_kind::endpointFailed, "the endpoint was silent, and the attempt was given up");
    }
    if (m_connection->hasExpired()) {
        return fail(base::error_kind::endpointFailed, "the endpoint did not answer in time");
    }
    if (error == http::error::end_of_stream) {
        return fail(base::error_kind::endpointFailed, "the endpoint closed the connection without an answer");
    }
    if (error == http::error::partial_message) {
        return fail(base::error_kind::endpointFailed, "the endpoint's answer broke off");
    }
    const bool malformed = error.category() == make_error_code(http::error::header_limit).category();
    return fail(malformed ? base::error_kind::endpointInvalidAnswer : base::error_kind::endpointFailed,
                (malformed ? "the endpoint's answer is malformed: " : "the endpoint's connection failed: ") + error.message());
}

asio::awaitable<bool> http_client_stream::readHeader()
{
    for (int interimAnswers = 0; interimAnswers <= maxInterimAnswers;) {
        armReadDeadline();
        const auto [error, size] = co_await http::async_read_header(m_connection->socket(), m_connection->buffer(), *m_parser, awaitTuple);
        if (shouldKeepWaiting(error)) {
            continue;
        }
        if (error) {
            failWith(error);
            co_return false;
        }
        const http::response_header<> &answer = header();
        const unsigned status = answer.result_int();
        if (!isFinalStatus(status) && !isInterimStatus(status)) {
            closeAfterAnswer();
            m_connection->close();
            fail(base::error_kind::endpointInvalidAnswer, "the endpoint's answer has status " + statusText(status) + ", which is outside 200 to 599");
            co_return false;
        }
        if (hasAmbiguousLength(answer) || answer.result() == http::status::switching_protocols) {
            m_connection->close();
            fail(base::error_kind::endpointInvalidAnswer, "the endpoint's answer has an ambiguous length or switches protocols");
            co_return false;
        }
        if (isFinalStatus(status)) {
            m_readTimeout = std::min(m_readTimeout, m_bodyStallTimeout);
            reserveForBody();
            co_return true;
        }
        // An interim answer (RFC 9110, section 15.2); the final one follows.
        ++interimAnswers;
        resetParser();
    }
    m_connection->close();
    fail(base::error_kind::endpointInvalidAnswer, "the endpoint sent more than " + std::to_string(maxInterimAnswers) + " interim answers");
    co_return false;
}

/// Lets the rest of a body arrive in few reads: each takes a turn of the event loop, and there are many of them while the buffer grows by itself.
void http_client_stream::reserveForBody()
{
    const boost::optional<std::uint64_t> length = m_parser->content_length();
    if (length) {
        m_connection->buffer().reserve(static_cast<std::size_t>(std::min(*length, maxReservedBytes)));
    }
}

asio::awaitable<bool> http_client_stream::skipToNextAnswer()
{
    closeAfterAnswer();
    if (!isSelfDelimiting()) {
        fail(base::error_kind::endpointInvalidAnswer, "an answer to another request has neither a length nor chunked encoding");
        co_return false;
    }
    std::size_t skipped = 0;
    while (true) {
        const std::optional<std::string_view> part = co_await read();
        if (!part) {
            co_return false;
        }
        if (part->empty()) {
            break;
        }
        skipped += part->size();
        if (skipped > maxSkippedBytes) {
            m_connection->close();
            fail(base::error_kind::endpointInvalidAnswer, "an answer to another request does not end");
            co_return false;
        }
    }
    if (!m_parser->get().keep_alive()) {
        fail(base::error_kind::endpointFailed, "the endpoint closed the connection after an answer to another request");
        co_return false;
    }
    resetParser();
    co_return co_await readHeader();
}

asio::awaitable<std::optional<std::string_view>> http_client_stream::read()
{
    std::size_t filled = 0;
    while (filled == 0 && !m_parser->is_done()) {
        m_parser->get().body().data = m_readBuffer.data();
        m_parser->get().body().size = m_readBuffer.size();
        armReadDeadline();
        const auto [error, size] = co_await http::async_read_some(m_connection->socket(), m_connection->buffer(), *m_parser, awaitTuple);
        if (shouldKeepWaiting(error)) {
            continue;
        }
        if (error && error != http::error::need_buffer) {
            co_return failWith(error);
        }
        // No data is added when only chunk framing arrived.
        filled = m_readBuffer.size() - m_parser->get().body().size;
        m_transferredBytes += static_cast<std::int64_t>(filled);
    }
    m_hasReadEnd = filled == 0;
    co_return std::string_view(m_readBuffer.data(), filled);
}

} // namespace chervilbend::net
