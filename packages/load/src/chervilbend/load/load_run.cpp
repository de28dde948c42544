#include <chervilbend/load/load_run.hpp>

#include <chervilbend/fakes/servers/completion_text.hpp>
#include <chervilbend/load/history_json.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace asio = boost::asio;
namespace json = boost::json;

namespace chervilbend::load
{

namespace
{

constexpr base::milliseconds minPause{40};
constexpr base::milliseconds maxPause{160};
/// Pause between two attempts. Shorter than the Retry-After of 1 s, so that each fault affects many attempts.
constexpr base::milliseconds retryPause{250};
constexpr base::milliseconds orderTimeout{6'000};
/// Fractions of the orders that are marked as a first attempt, that are sent twice concurrently, that are not retried after "not run",
/// and that are repeated after a complete response.
constexpr double markedFirstAttemptShare = 0.5;
constexpr double duplicateShare = 0.15;
constexpr double noRetryAfterNotRunShare = 0.5;
constexpr double repeatShare = 0.1;
/// Number of "unknown" responses after which a caller gives up on an order, because further attempts rarely change the result.
constexpr int maxUnknownResponses = 4;
/// Fraction of the chats that use the model's adapter.
constexpr double adapterShare = 0.3;

struct request_profile {
    std::int64_t tokens;
    bool stream;
    base::milliseconds timeout;
};

request_profile profileOf(const std::string &kind)
{
    if (kind == "urgent") {
        return {6, false, base::milliseconds(4'000)};
    }
    if (kind == "batch") {
        return {150, false, base::milliseconds(20'000)};
    }
    return {40, true, base::milliseconds(10'000)};
}

std::string expectedText(const std::string &model, const std::string &prompt, std::int64_t tokens)
{
    fakes::completion_request request;
    request.chat = true;
    request.model = model;
    request.prompt = prompt;
    request.maxTokens = tokens;
    const fakes::completion_text text(request, "", 0);
    std::string expected;
    for (std::int64_t index = 0; index < tokens; ++index) {
        expected += text.token(index);
    }
    return expected;
}

std::string bodyFor(const std::string &model, const std::string &prompt, const request_profile &profile)
{
    json::object message{{"role", "user"}, {"content", prompt}};
    json::object body{{"model", model}, {"max_tokens", profile.tokens}, {"stream", profile.stream}};
    body["messages"] = json::array{std::move(message)};
    return json::serialize(body);
}

} // namespace

load_run::load_run(load_options options, history_writer &history)
    : m_options(std::move(options))
    , m_history(history)
    , m_random(m_options.seed)
    , m_balancer(m_options.nodes, m_random)
{
}

void load_run::run()
{
    const base::time_point start = base::clock::now();
    m_end = start + m_options.duration;
    const asio::any_io_executor executor = m_context.get_executor();
    m_balancer.start(executor, m_end);
    // One urgent caller per model, so that every model is requested continuously.
    for (int caller = 0; caller < static_cast<int>(m_options.models.size()); ++caller) {
        asio::co_spawn(executor, runCompletionCaller("urgent", caller), asio::detached);
    }
    for (int caller = 0; caller < m_options.chatCallers; ++caller) {
        asio::co_spawn(executor, runCompletionCaller("chat", caller), asio::detached);
    }
    for (int caller = 0; caller < m_options.batchCallers; ++caller) {
        asio::co_spawn(executor, runCompletionCaller("batch", caller), asio::detached);
    }
    for (int caller = 0; caller < m_options.orderCallers && !m_options.orderPath.empty(); ++caller) {
        asio::co_spawn(executor, runOrderCaller(caller), asio::detached);
    }
    m_context.run();
}

bool load_run::isOver() const
{
    return base::clock::now() >= m_end;
}

asio::awaitable<void> load_run::runCompletionCaller(std::string kind, int caller)
{
    for (int count = 0; !isOver(); ++count) {
        const auto models = static_cast<std::int64_t>(m_options.models.size());
        const std::int64_t index = kind == "urgent" ? caller : m_random.between(0, models - 1);
        std::string model = m_options.models[static_cast<std::size_t>(index)];
        if (kind == "chat" && !m_options.adapter.empty() && m_random.chance(adapterShare)) {
            model += '/' + m_options.adapter;
        }
        const std::string request = kind + '-' + std::to_string(caller) + '-' + std::to_string(count);
        co_await runCompletion(kind, request, model);
        co_await net::sleepFor(base::milliseconds(m_random.between(minPause.count(), maxPause.count())));
    }
}

asio::awaitable<void> load_run::runCompletion(std::string kind, std::string request, std::string model)
{
    const request_profile profile = profileOf(kind);
    const std::string prompt = "request " + request + " of seed " + std::to_string(m_options.seed);
    const std::string expected = expectedText(model, prompt, profile.tokens);
    const base::time_point retryDeadline = base::clock::now() + m_options.retryTimeout;
    std::optional<net::address> node;
    for (int number = 1;; ++number) {
        node = m_balancer.pick(node);
        attempt entry;
        entry.kind = kind;
        entry.request = request;
        entry.number = number;
        entry.node = toString(*node);
        entry.subject = model;
        entry = co_await m_sender.sendCompletion(entry, *node, bodyFor(model, prompt, profile), expected, profile.stream, profile.timeout);
        entry.givenUp = !entry.isComplete && base::clock::now() >= retryDeadline;
        m_history.write(toLine(entry));
        if (entry.isComplete || entry.givenUp) {
            co_return;
        }
        co_await net::sleepFor(retryPause);
    }
}

asio::awaitable<void> load_run::runOrderCaller(int caller)
{
    for (int count = 0; !isOver(); ++count) {
        co_await runOrder("order-" + std::to_string(m_options.seed) + '-' + std::to_string(caller) + '-' + std::to_string(count));
        co_await net::sleepFor(base::milliseconds(m_random.between(minPause.count(), maxPause.count())));
    }
}

asio::awaitable<void> load_run::runOrder(std::string key)
{
    const base::time_point retryDeadline = base::clock::now() + m_options.retryTimeout;
    const bool hasDuplicate = m_random.chance(duplicateShare);
    // The duplicate is sent through another node, so neither request may claim to be the first attempt.
    const bool marksFirstAttempt = !hasDuplicate && m_random.chance(markedFirstAttemptShare);
    std::optional<net::address> node = m_balancer.pick(std::nullopt);
    if (hasDuplicate) {
        asio::co_spawn(m_context, sendDuplicateOrder(key, m_balancer.pick(node)), asio::detached);
    }
    int unknownResponses = 0;
    for (int number = 1;; ++number) {
        const attempt entry = co_await sendOrder(key, key, number, *node, marksFirstAttempt && number == 1);
        const bool stopsRetrying = entry.runState == "not run" && m_random.chance(noRetryAfterNotRunShare);
        if (entry.isComplete && m_random.chance(repeatShare)) {
            co_await sendOrder(key, key + "-repeat", 1, m_balancer.pick(node), false);
        }
        unknownResponses += entry.runState == "unknown" ? 1 : 0;
        if (entry.isComplete || stopsRetrying || unknownResponses == maxUnknownResponses || base::clock::now() >= retryDeadline) {
            co_return;
        }
        co_await net::sleepFor(retryPause);
        node = m_balancer.pick(node);
    }
}

asio::awaitable<attempt> load_run::sendOrder(std::string key, std::string request, int number, net::address node, bool marksFirstAttempt)
{
    attempt entry;
    entry.kind = "order";
    entry.request = std::move(request);
    entry.number = number;
    entry.node = toString(node);
    entry.subject = std::move(key);
    entry = co_await m_sender.sendOrder(entry, node, m_options.orderPath, marksFirstAttempt, orderTimeout);
    m_history.write(toLine(entry));
    co_return entry;
}

asio::awaitable<void> load_run::sendDuplicateOrder(std::string key, net::address node)
{
    co_await sendOrder(key, key + "-twin", 1, node, false);
}

} // namespace chervilbend::load
