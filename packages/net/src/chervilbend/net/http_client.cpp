#include <chervilbend/net/http_client.hpp>

#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_client_stream.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxIdlePerAddress = 64;
/// Shorter than the 5 s after which common servers close idle connections: a request that is written to a connection at the moment when
/// the server closes it fails without anyone knowing whether it ran.
constexpr base::milliseconds longestIdle{4'000};
/// Bound for answers that send() keeps whole.
constexpr std::size_t longestWholeAnswer = 64 * 1024 * 1024;

/// Whether an idle connection was closed, or sent something unasked, since it was given back.
bool isStale(connection &idle)
{
    boost::system::error_code error;
    idle.socket().non_blocking(true, error);
    char byte = 0;
    idle.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

http_client::http_client()
    : m_idle(std::make_shared<std::map<address, std::vector<std::shared_ptr<connection>>>>())
{
}

http_client::~http_client() = default;

asio::awaitable<std::optional<http_response>> http_client::send(address where, http_request request, http_send_options options)
{
    const std::shared_ptr<http_client_stream> stream = co_await open(std::move(where), std::move(request), options);
    if (!stream) {
        co_return std::nullopt;
    }
    if (!stream->marksItsEnd()) {
        m_timedOut = false;
        co_return fail(base::error_kind::endpointInvalidAnswer, "the endpoint's answer does not say where it ends");
    }
    http_response response;
    response.base() = stream->header();
    while (true) {
        const std::optional<std::string_view> piece = co_await stream->read();
        if (!piece) {
            m_timedOut = stream->hasTimedOut();
            co_return fail(stream->lastReason());
        }
        if (piece->empty()) {
            break;
        }
        if (response.body().size() + piece->size() > longestWholeAnswer) {
            m_timedOut = false;
            co_return fail(base::error_kind::endpointInvalidAnswer, "the endpoint's answer is too long");
        }
        response.body().append(*piece);
    }
    response.erase(http::field::transfer_encoding);
    co_return response;
}

asio::awaitable<std::shared_ptr<http_client_stream>> http_client::open(address where, http_request request, http_send_options options)
{
    const std::shared_ptr<connection> endpoint = co_await connect(where, options);
    if (!endpoint) {
        co_return nullptr;
    }
    request.version(11);
    request.keep_alive(true);
    request.set(http::field::host, toString(where));
    request.prepare_payload();
    endpoint->expireAfter(options.answerTimeout);
    const bool headOnly = request.method() == http::verb::head;
    const auto [error, size] = co_await http::async_write(endpoint->socket(), request, awaitTuple);
    if (error) {
        m_timedOut = endpoint->hasExpired();
        // A request of which no byte was taken certainly did not run.
        fail(size == 0 ? base::error_kind::endpointRefused : base::error_kind::endpointFailed, "write failed: " + error.message());
        endpoint->close();
        co_return nullptr;
    }
    const auto giveBackTo = [idle = std::weak_ptr(m_idle), where](std::shared_ptr<connection> used) {
        const auto pool = idle.lock();
        if (!pool || used->buffer().size() != 0) {
            return;
        }
        std::vector<std::shared_ptr<connection>> &idleHere = (*pool)[where];
        if (idleHere.size() >= maxIdlePerAddress) {
            std::erase_if(idleHere, [](const auto &old) { return !old->socket().is_open(); });
        }
        if (idleHere.size() < maxIdlePerAddress) {
            used->expireAfter(longestIdle);
            idleHere.push_back(std::move(used));
        }
    };
    const auto stream = std::make_shared<http_client_stream>(endpoint, options.answerTimeout, options.deadline, headOnly, giveBackTo);
    const bool answered = co_await stream->readHeader();
    if (!answered) {
        m_timedOut = stream->hasTimedOut();
        fail(stream->lastReason());
        co_return nullptr;
    }
    co_return stream;
}

void http_client::closeIdle()
{
    m_idle->clear();
}

std::shared_ptr<connection> http_client::takeIdle(const address &where)
{
    std::vector<std::shared_ptr<connection>> &idle = (*m_idle)[where];
    while (!idle.empty()) {
        std::shared_ptr<connection> candidate = std::move(idle.back());
        idle.pop_back();
        if (!isStale(*candidate)) {
            return candidate;
        }
    }
    return nullptr;
}

asio::awaitable<std::shared_ptr<connection>> http_client::connect(address where, http_send_options options)
{
    if (!options.freshConnection) {
        if (std::shared_ptr<connection> idle = takeIdle(where)) {
            co_return idle;
        }
    }
    boost::system::error_code invalid;
    const auto number = asio::ip::make_address(where.ip, invalid);
    if (invalid) {
        m_timedOut = false;
        fail(base::error_kind::endpointRefused, "not an IP number: " + where.ip);
        co_return nullptr;
    }
    const auto fresh = std::make_shared<connection>(asio::ip::tcp::socket(co_await asio::this_coro::executor));
    fresh->expireAfter(options.connectTimeout);
    const auto [error] = co_await fresh->socket().async_connect({number, where.port}, awaitTuple);
    if (error) {
        m_timedOut = fresh->hasExpired();
        fail(base::error_kind::endpointRefused, "cannot connect to " + toString(where) + ": " + (fresh->hasExpired() ? "timed out" : error.message()));
        fresh->close();
        co_return nullptr;
    }
    boost::system::error_code ignored;
    fresh->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return fresh;
}

} // namespace chervilbend::net
