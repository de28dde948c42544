#include <chervilbend/fakes/servers/engine_server.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/config/model_declaration.hpp>
#include <chervilbend/external/http/engine_command_json.hpp>
#include <chervilbend/external/http/engine_report_json.hpp>
#include <chervilbend/fakes/servers/completion_request.hpp>
#include <chervilbend/fakes/servers/completion_text.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::fakes
{

namespace
{

constexpr int crashStatus = 3;
/// The cache stores the first 1,024 bytes of prompts, about 256 tokens; shorter prompts are not cached.
constexpr std::size_t prefixBytes = 1'024;
constexpr std::int64_t prefixTokens = 256;

/// Identifies this engine in the in-process control that injects the command faults; nothing listens there.
net::address placeholderAddress()
{
    return {"127.0.0.1", 0};
}

/// Returns NAME from "NAME@VERSION".
std::string withoutVersion(const std::string &versioned)
{
    return versioned.substr(0, versioned.find('@'));
}

} // namespace

engine_server::engine_server(const engine_server_options &options)
    : m_options(options)
    , m_model(std::make_shared<engine_model>(options.engine))
    , m_engineControl(options.seed)
    , m_slots(options.batchSize)
    , m_cache(options.cacheTokens)
    , m_cacheEvents(options.cacheEventLag, options.cacheEventLoss, options.seed + 1)
    , m_reportLag(options.engine.reportLag)
{
    m_engineControl.add(placeholderAddress(), m_model);
    m_slots.onChange([this] { m_model->setLoad(static_cast<std::int64_t>(m_slots.running()), static_cast<std::int64_t>(m_slots.waiting())); });
    m_cache.setListener([this](bool stored, const std::string &prefix) { m_cacheEvents.add(stored, prefix); });
    registerFaults();
}

void engine_server::registerFaults()
{
    m_faultRegistry.addTime("delayMs", m_faults.delay);
    m_faultRegistry.addShare("lostCommands", m_faults.lostCommands);
    m_faultRegistry.addShare("lostAnswers", m_faults.lostAnswers);
    m_faultRegistry.addShare("lateCommands", m_faults.lateCommands);
    m_faultRegistry.addShare("duplicates", m_faults.duplicates);
    m_faultRegistry.addTime("lateByMs", m_faults.lateBy);
    m_faultRegistry.addTime("lagMs", m_reportLag);
    m_faultRegistry.addFactor("slowness", m_slowness);
    m_faultRegistry.addFlag("refuse", m_refuseRequests);
    m_faultRegistry.addFlag("crash", m_crash);
    m_faultRegistry.onChange([this] {
        if (m_crash) {
            std::_Exit(crashStatus);
        }
        // The server closes the connection at once to simulate a lost response.
        m_faults.answerTimeout = base::milliseconds(0);
        m_engineControl.setFaults(m_faults);
        m_model->setReportLag(m_reportLag);
    });
}

asio::awaitable<void> engine_server::serve(std::shared_ptr<net::http_exchange> exchange, request_target target)
{
    const std::string &path = target.path();
    const bool isPost = exchange->request().method() == http::verb::post;
    if (isPost && path == "/engine/commands") {
        co_await handleCommand(exchange);
    } else if (path == "/engine/report") {
        co_await sendReport(exchange);
    } else if (path == "/engine/counts") {
        co_await sendCounts(exchange);
    } else if (path == "/engine/cache-events") {
        const std::optional<std::int64_t> after = target.integerParameter("after", 0);
        if (after) {
            co_await sendCacheEvents(exchange, *after);
        } else {
            co_await respondError(exchange, http::status::bad_request, "after must be a whole number from 0");
        }
    } else if (isPost && (path == "/v1/chat/completions" || path == "/v1/completions")) {
        co_await handleCompletion(exchange);
    } else {
        co_await respondError(exchange, http::status::not_found, "unknown path: " + path);
    }
}

asio::awaitable<void> engine_server::handleCommand(std::shared_ptr<net::http_exchange> exchange)
{
    const std::optional<json::object> body = parseBody(exchange->request());
    const std::optional<external::engine_command> command = body ? external::engineCommandFromJson(*body) : std::nullopt;
    if (!command) {
        co_await respondError(exchange, http::status::bad_request, "the body is not a valid command");
        co_return;
    }
    const external::command_status status = co_await m_engineControl.send(placeholderAddress(), *command);
    if (status == external::command_status::refused) {
        co_await respondError(exchange, http::status::conflict, "the fencing token is older than the highest seen");
        co_return;
    }
    if (command->action == external::engine_action::load && m_options.store) {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, requestLoadTime(command->item), asio::detached);
    }
    if (status == external::command_status::accepted) {
        json::object response{{"status", "accepted"}};
        co_await respond(exchange, http::status::ok, std::move(response));
    }
}

asio::awaitable<void> engine_server::requestLoadTime(base::item_id item)
{
    net::http_request request(http::verb::post, "/loads", 11);
    request.body() = config::baseItemOf(item) == item ? R"({"kind":"model"})" : R"({"kind":"adapter"})";
    const std::optional<net::http_response> response = co_await m_client.send(*m_options.store, std::move(request));
    json::error_code error;
    const json::value parsed = response ? json::parse(response->body(), error) : json::value();
    const json::value *const duration = !error && parsed.is_object() ? parsed.get_object().if_contains("durationMs") : nullptr;
    if (duration && duration->is_int64()) {
        m_model->setLoadTime(item, base::milliseconds(duration->get_int64()));
    }
}

asio::awaitable<void> engine_server::sendReport(std::shared_ptr<net::http_exchange> exchange)
{
    const std::optional<external::engine_report> report = co_await m_engineControl.report(placeholderAddress());
    if (report) {
        co_await respond(exchange, http::status::ok, external::toJson(*report));
    }
}

asio::awaitable<void> engine_server::sendCounts(std::shared_ptr<net::http_exchange> exchange)
{
    json::object body{{"memoryBytes", m_options.engine.memory.count()},
                      {"usedBytes", m_model->used().count()},
                      {"highestBytes", m_model->highestUsed().count()},
                      {"requests", m_requests}};
    co_await respond(exchange, http::status::ok, std::move(body));
}

asio::awaitable<void> engine_server::sendCacheEvents(std::shared_ptr<net::http_exchange> exchange, std::int64_t after)
{
    json::array events;
    std::int64_t next = after;
    for (const cache_event &event : m_cacheEvents.read(after)) {
        next = event.sequence;
        events.push_back(json::object{{"sequence", event.sequence}, {"kind", event.stored ? "stored" : "evicted"}, {"prefix", event.prefix}});
    }
    json::object body{{"next", next}, {"events", std::move(events)}};
    co_await respond(exchange, http::status::ok, std::move(body));
}

asio::awaitable<void> engine_server::handleCompletion(std::shared_ptr<net::http_exchange> exchange)
{
    ++m_requests;
    const std::optional<completion_request> request = completionRequestFrom(exchange->request());
    if (!request) {
        co_await respondError(exchange, http::status::bad_request, "the body is not a valid completion request");
        co_return;
    }
    if (!m_options.crashMarker.empty() && request->prompt.find(m_options.crashMarker) != std::string::npos) {
        std::_Exit(crashStatus);
    }
    if (!hasModel(request->model)) {
        co_await respondError(exchange, http::status::not_found, "the model \"" + request->model + "\" is not loaded");
        co_return;
    }
    if (m_refuseRequests || m_slots.waiting() >= m_options.queueLength) {
        co_await respondError(exchange, http::status::service_unavailable, "the engine is overloaded");
        co_return;
    }
    co_await generate(exchange, std::make_shared<const completion_request>(*request));
}

asio::awaitable<void> engine_server::generate(std::shared_ptr<net::http_exchange> exchange, std::shared_ptr<const completion_request> request)
{
    batch_slots::slot slot(m_slots, request->urgency);
    const bool acquired = co_await slot.acquire();
    if (!acquired) {
        co_return;
    }
    const std::int64_t cached = findOrCachePrefix(*request) ? prefixTokens : 0;
    co_await net::sleepFor(durationFor(static_cast<double>(request->promptTokens() - cached), m_options.promptTokenMs));
    const std::string id =
        (request->chat ? "chatcmpl-" : "cmpl-") + std::to_string(m_options.engine.incarnation.count()) + '-' + std::to_string(++m_completions);
    const auto text = std::make_shared<const completion_text>(*request, id, base::clock::wallNow().count() / 1'000);
    if (request->stream) {
        co_await streamTokens(exchange, request, text);
        co_return;
    }
    for (std::int64_t index = 0; index < request->maxTokens; ++index) {
        co_await net::sleepFor(durationFor(1, m_options.tokenMs));
    }
    co_await respond(exchange, http::status::ok, text->fullResponse());
}

asio::awaitable<void> engine_server::streamTokens(std::shared_ptr<net::http_exchange> exchange,
                                                  std::shared_ptr<const completion_request> request,
                                                  std::shared_ptr<const completion_text> text)
{
    http::response<http::empty_body> header(http::status::ok, 11);
    header.set(http::field::content_type, "text/event-stream");
    header.set(http::field::cache_control, "no-cache");
    bool open = co_await exchange->startStream(std::move(header));
    for (std::int64_t index = 0; open && index < request->maxTokens; ++index) {
        co_await net::sleepFor(durationFor(1, m_options.tokenMs));
        const std::string event = text->tokenEvent(index);
        open = co_await exchange->writeChunk(event);
    }
    if (open) {
        const std::string events = text->finalEvents();
        co_await exchange->writeChunk(events);
        co_await exchange->finishStream();
    }
}

bool engine_server::hasModel(const std::string &model)
{
    const std::vector<base::item_id> loaded = m_model->loadedItems();
    return std::any_of(loaded.begin(), loaded.end(), [&](const base::item_id &item) {
        const std::string &id = item.value();
        const std::size_t slash = id.find('/');
        if (slash == std::string::npos) {
            return id == model || withoutVersion(id) == model;
        }
        const std::string adapter = withoutVersion(id.substr(slash + 1));
        return id == model || adapter == model || withoutVersion(id) + '/' + adapter == model;
    });
}

bool engine_server::findOrCachePrefix(const completion_request &request)
{
    if (request.prompt.size() < prefixBytes) {
        return false;
    }
    return m_cache.lookUpOrInsert(base::hash128Hex(request.model + '\n' + request.prompt.substr(0, prefixBytes)).substr(0, 16),
                                  base::token_count(prefixTokens));
}

base::milliseconds engine_server::durationFor(double tokens, double tokenMs) const
{
    const double others = static_cast<double>(m_slots.running()) - 1;
    return base::milliseconds(std::llround(tokens * tokenMs * m_slowness * (1 + m_options.batchSlope * std::max(0.0, others))));
}

} // namespace chervilbend::fakes
