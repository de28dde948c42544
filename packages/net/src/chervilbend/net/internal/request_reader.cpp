#include <chervilbend/net/internal/request_reader.hpp>

#include <chervilbend/net/internal/message_framing.hpp>
#include <chervilbend/net/internal/request_target.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <string_view>
#include <tuple>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Size of the read buffer that each connection has without taking it from the budget.
constexpr std::size_t ownBufferBytes = 4 * 1024;
/// Size up to which a body is accepted even if the budget is used up.
constexpr std::size_t guaranteedBodyBytes = 16 * 1024;
/// Memory for each field of a header, besides its text.
constexpr std::size_t fieldBytes = 96;
constexpr std::size_t firstReadBytes = 512;
constexpr std::string_view emptyLine = "\r\n";

std::string_view textIn(const boost::beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

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

/// Why a server must refuse a request that the parser accepts (RFC 9112, sections 3.2 and 6.1; RFC 9110, section 10.1.1).
std::optional<base::reason> refusalReason(const http_request &request)
{
    if (hasAmbiguousLength(request)) {
        return base::reason{base::error_kind::badRequest, "the length of the request is ambiguous"};
    }
    if (request.version() < 11 && request.count(http::field::transfer_encoding) > 0) {
        return base::reason{base::error_kind::badRequest, "HTTP/1.0 does not support Transfer-Encoding"};
    }
    if (request.version() != 10 && request.version() != 11) {
        return base::reason{base::error_kind::badRequest, "the HTTP version is neither 1.0 nor 1.1"};
    }
    const std::size_t hosts = request.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && request.version() == 11)) {
        return base::reason{base::error_kind::badRequest, "the request needs exactly one Host field"};
    }
    const auto expectation = request[http::field::expect];
    if (!expectation.empty() && !boost::beast::iequals(expectation, "100-continue")) {
        return base::reason{base::error_kind::badRequest, "the Expect field has an unsupported value"};
    }
    return std::nullopt;
}

base::reason outOfMemory()
{
    return {base::error_kind::overloaded, "the node has no memory left for a request of this size"};
}

} // namespace

request_reader::request_reader(std::shared_ptr<connection> caller, const http_server_limits &limits, std::shared_ptr<base::byte_budget> budget)
    : m_connection(std::move(caller))
    , m_limits(limits)
    , m_memory(std::make_unique<base::byte_reservation>(std::move(budget)))
{
    m_parser.header_limit(limits.headerBytes);
    m_parser.body_limit(limits.bodyBytes);
    boost::beast::flat_buffer &buffer = m_connection->buffer();
    // Longer only if bytes of this request came behind the one before.
    buffer.max_size(std::max(ownBufferBytes, buffer.capacity()));
}

bool request_reader::hasBegun()
{
    boost::beast::flat_buffer &buffer = m_connection->buffer();
    while (textIn(buffer).starts_with(emptyLine)) {
        buffer.consume(emptyLine.size());
    }
    // The empty line may be incomplete.
    return !emptyLine.starts_with(textIn(buffer));
}

asio::awaitable<bool> request_reader::readBeginning()
{
    boost::beast::flat_buffer &buffer = m_connection->buffer();
    const auto [error, size] = co_await m_connection->socket().async_read_some(buffer.prepare(firstReadBytes), awaitTuple);
    buffer.commit(size);
    co_return !error;
}

asio::awaitable<bool> request_reader::read()
{
    if (!reserve(0)) {
        co_return refuse(outOfMemory());
    }
    const bool hasHeader = co_await readHeader();
    if (!hasHeader) {
        co_return false;
    }
    const bool isAccepted = co_await acceptHeader();
    if (!isAccepted) {
        co_return false;
    }
    const bool isComplete = co_await readBody();
    if (!isComplete) {
        co_return false;
    }
    shrinkBuffer();
    // Fails only for a request that is read although the budget is used up.
    reserve(m_parser.get().body().size());
    co_return true;
}

asio::awaitable<bool> request_reader::readHeader()
{
    while (true) {
        const auto [error, size] = co_await http::async_read_header(m_connection->socket(), m_connection->buffer(), m_parser, awaitTuple);
        if (!error) {
            const http_request &request = m_parser.get();
            const std::size_t headerBytes = size + fieldBytes * static_cast<std::size_t>(std::distance(request.begin(), request.end()));
            m_longHeaderBytes = headerBytes - std::min(headerBytes, ownBufferBytes);
            co_return reserve(0) || refuse(outOfMemory());
        }
        if (error != http::error::buffer_overflow || !growBuffer()) {
            co_return refuseFor(error);
        }
    }
}

asio::awaitable<bool> request_reader::acceptHeader()
{
    http_request &request = m_parser.get();
    const std::optional<base::reason> reason = refusalReason(request);
    if (reason) {
        co_return refuse(*reason);
    }
    useOriginForm(request);
    m_connection->interruptAfter(m_limits.readTimeout);
    if (request.count(http::field::expect) > 0 && request.version() == 11 && !m_parser.is_done()) {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        const auto [error, size] = co_await http::async_write(m_connection->socket(), proceed, awaitTuple);
        co_return !error || refuseFor(error);
    }
    co_return true;
}

std::vector<const http::fields::value_type *> request_reader::headerFields() const
{
    std::vector<const http::fields::value_type *> known;
    if (m_parser.chunked()) {
        for (const auto &field : m_parser.get()) {
            known.push_back(&field);
        }
        std::sort(known.begin(), known.end(), std::less<>());
    }
    return known;
}

void request_reader::discardTrailer(const std::vector<const http::fields::value_type *> &headerFields)
{
    http_request &request = m_parser.get();
    for (auto field = request.begin(); m_parser.chunked() && field != request.end();) {
        const auto next = std::next(field);
        if (!std::binary_search(headerFields.begin(), headerFields.end(), &*field, std::less<>())) {
            request.erase(field);
        }
        field = next;
    }
}

asio::awaitable<bool> request_reader::readBody()
{
    const std::vector<const http::fields::value_type *> header = headerFields();
    while (!m_parser.is_done()) {
        const auto [error, size] = co_await http::async_read_some(m_connection->socket(), m_connection->buffer(), m_parser, awaitTuple);
        if (error && (error != http::error::buffer_overflow || !growBuffer())) {
            co_return refuseFor(error);
        }
        if (m_connection->hasExpired()) {
            co_return refuseFor(asio::error::operation_aborted);
        }
        const std::size_t bodyBytes = m_parser.get().body().size();
        if (!reserve(bodyBytes) && bodyBytes > guaranteedBodyBytes) {
            co_return refuse(outOfMemory());
        }
    }
    discardTrailer(header);
    co_return true;
}

bool request_reader::growBuffer()
{
    boost::beast::flat_buffer &buffer = m_connection->buffer();
    const std::size_t before = buffer.max_size();
    const std::size_t longest = m_limits.headerBytes + connection::maxUnparsedBytes;
    if (before >= longest) {
        return false;
    }
    buffer.max_size(std::min(longest, 2 * before));
    if (!reserve(m_parser.get().body().size())) {
        buffer.max_size(before);
        return refuse(outOfMemory());
    }
    return true;
}

void request_reader::shrinkBuffer()
{
    boost::beast::flat_buffer &buffer = m_connection->buffer();
    if (buffer.capacity() > ownBufferBytes && buffer.size() <= ownBufferBytes) {
        buffer.shrink_to_fit();
    }
    buffer.max_size(std::max(ownBufferBytes, buffer.capacity()));
}

bool request_reader::reserve(std::size_t bodyBytes)
{
    return m_memory->resize(m_connection->buffer().max_size() - ownBufferBytes + m_longHeaderBytes + bodyBytes);
}

bool request_reader::refuse(base::reason reason)
{
    m_refusal = std::move(reason);
    return false;
}

bool request_reader::refuseFor(const boost::system::error_code &error)
{
    if (!m_refusal && (isProtocolError(error) || m_connection->hasExpired())) {
        m_refusal = reasonForReadError(error, m_connection->hasExpired());
    }
    return false;
}

} // namespace chervilbend::net
