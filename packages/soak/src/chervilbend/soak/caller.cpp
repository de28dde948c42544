#include <chervilbend/soak/caller.hpp>

#include <chervilbend/fakes/platform/application_server.hpp>
#include <chervilbend/fakes/platform/caller_message.hpp>
#include <chervilbend/fakes/platform/event_feed.hpp>
#include <chervilbend/net/answer_status.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/net/timer.hpp>
#include <chervilbend/soak/node_processes.hpp>
#include <chervilbend/soak/node_rotation.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <string_view>
#include <tuple>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::soak
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr base::milliseconds connectTimeout{1'000};
constexpr base::milliseconds streamTimeout{6'000};
constexpr base::milliseconds feedTimeout{12'000};
/// The node's deadline is earlier than the caller's, by rounding and by the time that a request is on its way.
constexpr base::milliseconds deadlineMargin{100};
constexpr base::milliseconds shortestPause{20};
constexpr base::milliseconds longestPause{160};
constexpr double orderShare = 0.6;
constexpr double streamShare = 0.6; // Of the others.
constexpr double longBodyShare = 0.05;
constexpr double leavingShare = 0.03;
/// Share of the requests that name an account themselves, which nodes must not pass on.
constexpr double forgedShare = 0.1;
constexpr std::uint64_t accountSeedStep = 1'000'000;
constexpr std::int64_t shortestLongBody = 100'000;
constexpr std::int64_t longestLongBody = 900'000;
constexpr std::uint64_t maxAnswerBytes = 1024 * 1024;
/// Part of the time left that a caller waits at most before it repeats a request.
constexpr int retryWaitShare = 3;
constexpr int okStatus = 200;
/// Final for a caller, also of a request that may be repeated.
constexpr int unauthorizedStatus = 401;
/// Of a wrong answer, in the list of breaches.
constexpr std::size_t shownBytes = 20;
/// Odd, with bits all over the word: spreads consecutive numbers.
constexpr std::uint64_t spreadingFactor = 0x9e3779b97f4a7c15U;

std::uint64_t nextNumber()
{
    static std::uint64_t number = 0;
    return ++number;
}

/// 16 hexadecimal digits that no other attempt has.
std::string attemptId(std::uint64_t seed)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(16) << seed * spreadingFactor + nextNumber();
    return text.str();
}

bool isPromise(int status)
{
    return status == 429 || status == 503;
}

std::string eventTexts(const std::string &target, int events)
{
    std::string texts;
    for (int event = 0; event < events; ++event) {
        texts += fakes::event_feed::eventText(target, event);
    }
    return texts;
}

std::string_view pathOf(request_kind kind)
{
    switch (kind) {
    case request_kind::order:
        return "/orders/";
    case request_kind::stream:
        return "/streams/";
    case request_kind::feed:
        return "/feeds/";
    case request_kind::query:
        break;
    }
    return "/status/";
}

base::milliseconds secondsOf(const net::http_response &answer)
{
    constexpr double millisecondsPerSecond = 1'000;
    const std::string text(answer[net::http::field::retry_after]);
    return base::milliseconds(static_cast<std::int64_t>(std::strtod(text.c_str(), nullptr) * millisecondsPerSecond));
}

} // namespace

struct caller::open_connection {
    explicit open_connection(const asio::any_io_executor &executor)
        : socket(executor)
        , timer(executor)
    {
    }

    /// Closes the socket at that time.
    void closeAt(base::time_point when)
    {
        timer.expires_at(when);
        timer.async_wait([this, alive = std::weak_ptr(isAlive)](boost::system::error_code error) {
            if (!error && alive.lock()) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    }

    /// Whether the node has closed the connection, or has sent something that was not asked for.
    bool isStale()
    {
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error != asio::error::would_block;
    }

    asio::ip::tcp::socket socket;
    net::timer timer;
    boost::beast::flat_buffer buffer;
    std::size_t node = 0;
    std::string program;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

caller::caller(const soak_options &options, const node_rotation &nodes, attempt_ledger &ledger, std::uint64_t seed, bool readsFeeds)
    : m_options(options)
    , m_nodes(nodes)
    , m_ledger(ledger)
    , m_random(seed)
    , m_accountRandom(seed + accountSeedStep)
    , m_hash(seed * spreadingFactor >> 20)
    , m_readsFeeds(readsFeeds)
{
}

asio::awaitable<void> caller::run(base::time_point end)
{
    while (base::clock::now() < end) {
        co_await net::sleepFor(base::milliseconds(m_random.between(shortestPause.count(), longestPause.count())));
        caller_request request = drawRequest();
        co_await send(std::move(request));
    }
}

std::string caller::targetOf(const caller_request &request)
{
    return std::string(pathOf(request.kind)) + std::to_string(request.number);
}

request_kind caller::drawKind()
{
    if (m_readsFeeds) {
        return request_kind::feed;
    }
    if (m_random.chance(orderShare)) {
        return request_kind::order;
    }
    return m_random.chance(streamShare) ? request_kind::stream : request_kind::query;
}

base::milliseconds caller::timeoutOf(request_kind kind) const
{
    switch (kind) {
    case request_kind::feed:
        return feedTimeout;
    case request_kind::stream:
        return streamTimeout;
    default:
        return m_options.orderTimeout;
    }
}

caller::caller_request caller::drawRequest()
{
    caller_request request;
    request.number = nextNumber();
    request.kind = drawKind();
    const base::time_point now = base::clock::now();
    request.deadline = now + timeoutOf(request.kind);
    request.body = "request " + std::to_string(request.number);
    if (request.kind == request_kind::order && m_random.chance(longBodyShare)) {
        request.body.resize(static_cast<std::size_t>(m_random.between(shortestLongBody, longestLongBody)), '.');
    }
    if (m_options.hasAccounts) {
        request.key = soak_accounts::drawKey(m_accountRandom);
    }
    if (m_random.chance(leavingShare)) {
        request.leavesAt = now + base::milliseconds(m_random.between(1, m_options.orderTimeout.count() / 4));
    }
    return request;
}

asio::awaitable<void> caller::send(caller_request request)
{
    const std::shared_ptr<open_connection> kept = co_await keptConnection();
    const std::string id = attemptId(m_options.seed);
    const attempt_answer answer = co_await attempt(request, id, kept);
    const bool mayRepeat = isPromise(answer.status) || (!mayRunOnceOnly(request.kind) && answer.status != okStatus && answer.status != unauthorizedStatus);
    if (!mayRepeat || request.leavesAt) {
        co_return;
    }
    const base::milliseconds left = request.deadline - base::clock::now();
    if (left <= base::milliseconds(0)) {
        co_return;
    }
    co_await net::sleepFor(std::min(answer.retryAfter, left / retryWaitShare));
    const auto other = static_cast<std::uint64_t>(m_random.between(0, 1'000'000));
    const std::shared_ptr<open_connection> fresh = co_await connect(other);
    std::string repeatedId = isPromise(answer.status) && m_random.chance(m_options.repeatedIdShare) ? id : attemptId(m_options.seed);
    co_await attempt(std::move(request), std::move(repeatedId), fresh);
}

asio::awaitable<std::shared_ptr<caller::open_connection>> caller::keptConnection()
{
    if (!m_connection || m_connection->isStale()) {
        m_connection = co_await connect(m_hash);
    }
    co_return m_connection;
}

asio::awaitable<std::shared_ptr<caller::open_connection>> caller::connect(std::uint64_t hash)
{
    const auto connection = std::make_shared<open_connection>(co_await asio::this_coro::executor);
    connection->node = m_nodes.choose(hash);
    connection->closeAt(base::clock::now() + connectTimeout);
    const std::uint16_t port = soak_ports(m_options).callers(connection->node);
    const auto [error] = co_await connection->socket.async_connect({asio::ip::address_v4::loopback(), port}, awaitTuple);
    connection->timer.cancel();
    connection->program = runningProgram(m_options, connection->node);
    co_return error || !connection->socket.is_open() ? nullptr : connection;
}

asio::awaitable<caller::attempt_answer> caller::attempt(caller_request request, std::string id, std::shared_ptr<open_connection> connection)
{
    attempt_answer result;
    if (!connection) {
        co_return result;
    }
    m_ledger.onSent({id, request.number, request.kind, connection->node, connection->program, base::clock::now(), request.key});
    fakes::caller_message message;
    message.method = request.kind == request_kind::query ? "GET" : "POST";
    message.host = "desk.example";
    message.path = targetOf(request);
    message.attempt = id;
    message.timeout = std::max(request.deadline - base::clock::now(), base::milliseconds(1));
    message.fields = accountFields(request);
    message.body = request.body;
    const std::string text = fakes::toText(message);
    connection->closeAt(request.leavesAt ? std::min(*request.leavesAt, request.deadline) : request.deadline);
    auto [error, size] = co_await asio::async_write(connection->socket, asio::buffer(text), awaitTuple);
    net::http::response_parser<net::http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    // The node may answer before it has read the whole request.
    if (!error || error == asio::error::broken_pipe || error == asio::error::connection_reset) {
        std::tie(error, size) = co_await net::http::async_read(connection->socket, connection->buffer, parser, awaitTuple);
    }
    connection->timer.cancel();
    attempt_end end;
    if (error) {
        end.note = error.message() + (parser.is_header_done() ? ", after " + std::to_string(parser.get().result_int()) : "");
        // Only the caller's own timer cancels its operations.
        const bool isOver = error == asio::error::operation_aborted || base::clock::now() >= request.deadline - deadlineMargin;
        end.cut = isOver ? cut_cause::byCaller : cut_cause::byNode;
    } else {
        end.status = result.status = static_cast<int>(parser.get().result_int());
        end.note = end.status == okStatus ? std::string() : parser.get().body();
        result.retryAfter = secondsOf(parser.get());
        checkAnswer(request, id, parser.get());
    }
    m_ledger.onEnded(id, std::move(end));
    if (error || !parser.keep_alive()) {
        boost::system::error_code ignored;
        connection->socket.close(ignored);
        if (m_connection == connection) {
            m_connection.reset();
        }
    }
    co_return result;
}

std::string caller::accountFields(const caller_request &request)
{
    std::string fields;
    if (request.key && !request.key->text.empty()) {
        fields += "Authorization: Token " + request.key->text + "\r\n";
    }
    if (request.key && m_accountRandom.chance(forgedShare)) {
        fields += "chervilbend-tenant: forged\r\n";
    }
    return fields;
}

std::string caller::expectedBody(const caller_request &request, const std::string &id)
{
    const std::string target = targetOf(request);
    switch (request.kind) {
    case request_kind::feed:
        return eventTexts(target, fakes::event_feed::eventsOf(target));
    case request_kind::stream:
        return eventTexts(id, fakes::application_server::eventsPerStream);
    default:
        return "done " + id;
    }
}

void caller::checkAnswer(const caller_request &request, const std::string &id, const net::http_response &answer)
{
    if (!net::isFinalStatus(answer.result_int())) {
        m_ledger.onWrongAnswer(id, "status " + net::statusText(answer.result_int()));
        return;
    }
    if (answer.result_int() == fakes::application_server::unnamedStatus) {
        const auto reason = answer.reason();
        const bool isUnchanged = std::string_view(reason.data(), reason.size()) == fakes::application_server::unnamedReason
            && answer.body() == fakes::application_server::unnamedBody(id) && fakes::isSealed(answer);
        if (!isUnchanged) {
            m_ledger.onWrongAnswer(id, "an unnamed status with another reason, body or seal");
        }
        return;
    }
    if (answer.result_int() != okStatus) {
        return;
    }
    const std::string &body = answer.body();
    if (body != expectedBody(request, id) || !fakes::isSealed(answer)) {
        std::string beginning = body.substr(0, shownBytes);
        std::replace_if(
            beginning.begin(), beginning.end(), [](unsigned char byte) { return std::isprint(byte) == 0; }, ' ');
        m_ledger.onWrongAnswer(id, "an answer of another request, or one that is not whole: " + beginning);
    }
}

} // namespace chervilbend::soak
