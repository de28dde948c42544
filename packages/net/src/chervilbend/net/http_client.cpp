#include <chervilbend/net/http_client.hpp>

#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/internal/peer_state.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxIdlePerAddress = 64;
/// Bounds on the time until the kernel detects that a peer no longer responds. Where a user timeout is set, it decides when keep-alive gives up, whatever the
/// number of probes, so it has to be the time that the probes take.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr unsigned millisecondsPerSecond = 1'000;
constexpr unsigned userTimeoutMs = (keepAliveIdleSeconds + keepAliveProbes * keepAliveIntervalSeconds) * millisecondsPerSecond;

/// Time for writing a request where the answer is waited for in short steps.
constexpr base::milliseconds minWriteTimeout{400};
/// Makes the kernel end a connection whose peer no longer responds: a wait for its answer would otherwise last until the deadline.
void enableDeadPeerDetection(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof keepAliveIntervalSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
}

/// Has to precede the connect, which negotiates the window.
void limitReceiveBuffer(asio::ip::tcp::socket &socket, const asio::ip::tcp &protocol)
{
    boost::system::error_code ignored;
    socket.open(protocol, ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(connection::receiveBufferBytes), ignored);
}

/// How much of an answer had arrived, for reasons of failures.
std::string bodyProgress(const http::response_header<> &header, std::size_t received)
{
    const auto length = header[http::field::content_length];
    return ", after " + std::to_string(received) + " of " + (length.empty() ? std::string("an unknown number of") : std::string(length)) + " bytes of its body";
}

/// Whether the status refuses a request, which the peer has not carried out.
bool isRefusal(http::status status)
{
    switch (status) {
    case http::status::bad_request:
    case http::status::request_timeout:
    case http::status::conflict:
    case http::status::precondition_failed:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        return true;
    default:
        return false;
    }
}

struct write_result {
    boost::system::error_code error;
    /// Bytes that have been written.
    std::size_t size = 0;
};

/// Writes the request. Each write that has an effect gives the next one as long as the first one had, within the deadline: a long request needs several.
asio::awaitable<write_result> writeRequest(connection &endpoint, http_request &request, const http_send_options &options)
{
    http::request_serializer<http::string_body> serializer(request);
    base::milliseconds timeout = std::max(options.answerTimeout, std::min(minWriteTimeout, options.deadline - base::clock::now()));
    write_result result;
    while (!result.error && !serializer.is_done()) {
        endpoint.expireAfter(timeout);
        const auto [error, size] = co_await http::async_write_some(endpoint.socket(), serializer, awaitTuple);
        result.error = error;
        result.size += size;
        timeout = std::min(timeout, std::max(options.deadline - base::clock::now(), base::milliseconds(0)));
    }
    co_return result;
}

} // namespace

void http_send_options::boundByProgress(base::milliseconds timeout, base::milliseconds wait)
{
    answerTimeout = timeout + wait;
    bodyStallTimeout = timeout;
    deadline = base::clock::now() + answerTimeout;
    slowestTransfer = slowestUsefulTransfer;
}

http_client::http_client()
    : m_idle(std::make_shared<std::map<address, std::vector<idle_connection>>>())
{
}

http_client::~http_client() = default;

asio::awaitable<std::optional<http_response>> http_client::send(address server, http_request request, http_send_options options)
{
    const std::shared_ptr<http_client_stream> stream = co_await open(std::move(server), std::move(request), options);
    if (!stream) {
        co_return std::nullopt;
    }
    if (!stream->isSelfDelimiting()) {
        m_timedOut = false;
        co_return fail(base::error_kind::endpointInvalidAnswer, "the endpoint's answer has neither a length nor chunked encoding");
    }
    if (isRefusal(stream->header().result())) {
        stream->closeAfterAnswer();
    }
    http_response response;
    response.base() = stream->header();
    while (true) {
        const std::optional<std::string_view> part = co_await stream->read();
        if (!part) {
            m_timedOut = stream->hasTimedOut();
            const base::reason &why = stream->lastReason();
            co_return fail(why.kind, why.text + bodyProgress(stream->header(), response.body().size()));
        }
        if (part->empty()) {
            break;
        }
        if (response.body().size() + part->size() > options.maxAnswerBytes) {
            m_timedOut = false;
            co_return fail(base::error_kind::endpointInvalidAnswer, "the endpoint's answer exceeds the size limit");
        }
        response.body().append(*part);
        if (options.bodyArriving) {
            options.bodyArriving();
        }
    }
    response.erase(http::field::transfer_encoding);
    co_return response;
}

asio::awaitable<std::shared_ptr<http_client_stream>> http_client::open(address server, http_request request, http_send_options options)
{
    const std::shared_ptr<connection> endpoint = co_await connect(server, options);
    if (!endpoint) {
        co_return nullptr;
    }
    request.version(11);
    request.keep_alive(true);
    if (request.count(http::field::host) == 0) {
        request.set(http::field::host, toString(server));
    }
    request.prepare_payload();
    const bool isFirstRequest = endpoint->noteRequest();
    const bool headOnly = request.method() == http::verb::head;
    const auto [error, size] = co_await writeRequest(*endpoint, request, options);
    if (error) {
        m_timedOut = endpoint->hasExpired();
        // A request of which no byte was written was certainly not executed.
        fail(size == 0 ? base::error_kind::endpointRefused : base::error_kind::endpointFailed, "write failed: " + error.message());
        endpoint->close();
        co_return nullptr;
    }
    const auto releaseToPool = [idle = std::weak_ptr(m_idle), server](std::shared_ptr<connection> used, base::milliseconds idleLimit) {
        const auto pool = idle.lock();
        if (!pool || used->buffer().size() != 0) {
            return;
        }
        std::vector<idle_connection> &idleAtAddress = (*pool)[server];
        std::erase_if(idleAtAddress, [](const idle_connection &old) { return !old.pooled->socket().is_open(); });
        if (idleAtAddress.size() < maxIdlePerAddress) {
            used->expireAfter(idleLimit);
            idleAtAddress.push_back({std::move(used), base::clock::now()});
        }
    };
    const auto stream = std::make_shared<http_client_stream>(endpoint, options, size, headOnly, isFirstRequest, releaseToPool);
    if (options.freshConnection) {
        stream->closeAfterAnswer();
    }
    const bool answered = co_await stream->readHeader();
    if (!answered) {
        m_timedOut = stream->hasTimedOut();
        fail(stream->lastReason());
        co_return nullptr;
    }
    co_return stream;
}

void http_client::closeIdleConnections()
{
    m_idle->clear();
}

std::shared_ptr<connection> http_client::takeIdleConnection(const address &server, base::milliseconds maxIdleTime)
{
    const auto found = m_idle->find(server);
    if (found == m_idle->end()) {
        return nullptr;
    }
    // The most recently used one is the least likely to have been dropped, and using it lets the others time out.
    std::vector<idle_connection> &idle = found->second;
    while (!idle.empty() && base::clock::now() - idle.back().since <= maxIdleTime) {
        std::shared_ptr<connection> candidate = std::move(idle.back().pooled);
        idle.pop_back();
        // A peer that has closed, or has sent what was not asked for, is of no use.
        if (peerStateOf(candidate->socket()) == peer_state::connected) {
            return candidate;
        }
    }
    return nullptr;
}

asio::awaitable<std::shared_ptr<connection>> http_client::connect(address server, http_send_options options)
{
    m_hasFailedLocally = false;
    if (!options.freshConnection) {
        if (std::shared_ptr<connection> idle = takeIdleConnection(server, options.maxIdleTime)) {
            co_return idle;
        }
    }
    boost::system::error_code invalid;
    const auto ipAddress = asio::ip::make_address(server.ip, invalid);
    if (invalid) {
        m_timedOut = false;
        fail(base::error_kind::endpointRefused, "not an IP address: " + server.ip);
        co_return nullptr;
    }
    const auto opened = std::make_shared<connection>(asio::ip::tcp::socket(co_await asio::this_coro::executor));
    opened->expireAfter(options.connectTimeout);
    const asio::ip::tcp::endpoint endpoint(ipAddress, server.port);
    limitReceiveBuffer(opened->socket(), endpoint.protocol());
    m_hasFailedLocally = !opened->socket().is_open();
    const auto [error] = co_await opened->socket().async_connect(endpoint, awaitTuple);
    if (error) {
        m_timedOut = opened->hasExpired();
        fail(base::error_kind::endpointRefused, "cannot connect to " + toString(server) + ": " + (opened->hasExpired() ? "timed out" : error.message()));
        opened->close();
        co_return nullptr;
    }
    enableDeadPeerDetection(opened->socket());
    opened->setNumber(++m_opened);
    co_return opened;
}

} // namespace chervilbend::net
