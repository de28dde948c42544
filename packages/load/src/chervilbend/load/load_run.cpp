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

constexpr base::milliseconds shortestPause{40};
constexpr base::milliseconds longestPause{160};
/// Between two attempts. Shorter than the Retry-After of 1 s, so that many attempts meet each fault.
constexpr base::milliseconds retryPause{250};
constexpr base::milliseconds orderTimeout{6'000};
/// Shares of orders that the caller marks as its first attempt, that it sends twice at once, that it does not send again after "not run",
/// and that it repeats after their answer.
constexpr double firstAttemptShare = 0.5;
constexpr double twinShare = 0.15;
constexpr double endsAfterNotRunShare = 0.5;
constexpr double repeatShare = 0.1;
/// Answers "unknown" after which a caller gives the order up: more attempts hardly ever change it.
constexpr int mostUnknownAnswers = 4;
/// Share of chats that ask for an adapter of the model.
constexpr double adapterShare = 0.3;

struct kind_figures {
    std::int64_t tokens;
    bool stream;
    base::milliseconds timeout;
};

kind_figures figuresOf(const std::string &kind)
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
    std::string whole;
    for (std::int64_t index = 0; index < tokens; ++index) {
        whole += text.token(index);
    }
    return whole;
}

std::string bodyFor(const std::string &model, const std::string &prompt, const kind_figures &figures)
{
    json::object message{{"role", "user"}, {"content", prompt}};
    json::object body{{"model", model}, {"max_tokens", figures.tokens}, {"stream", figures.stream}};
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
    // One urgent caller a model, so that each model is asked all the time.
    for (int caller = 0; caller < static_cast<int>(m_options.models.size()); ++caller) {
        asio::co_spawn(executor, completions("urgent", caller), asio::detached);
    }
    for (int caller = 0; caller < m_options.chatCallers; ++caller) {
        asio::co_spawn(executor, completions("chat", caller), asio::detached);
    }
    for (int caller = 0; caller < m_options.batchCallers; ++caller) {
        asio::co_spawn(executor, completions("batch", caller), asio::detached);
    }
    for (int caller = 0; caller < m_options.orderCallers && !m_options.orderPath.empty(); ++caller) {
        asio::co_spawn(executor, orders(caller), asio::detached);
    }
    m_context.run();
}

bool load_run::isOver() const
{
    return base::clock::now() >= m_end;
}

asio::awaitable<void> load_run::completions(std::string kind, int caller)
{
    for (int count = 0; !isOver(); ++count) {
        const auto models = static_cast<std::int64_t>(m_options.models.size());
        const std::int64_t index = kind == "urgent" ? caller : m_random.between(0, models - 1);
        std::string model = m_options.models[static_cast<std::size_t>(index)];
        if (kind == "chat" && !m_options.adapter.empty() && m_random.chance(adapterShare)) {
            model += '/' + m_options.adapter;
        }
        const std::string request = kind + '-' + std::to_string(caller) + '-' + std::to_string(count);
        co_await completeOne(kind, request, model);
        co_await net::sleepFor(base::milliseconds(m_random.between(shortestPause.count(), longestPause.count())));
    }
}

asio::awaitable<void> load_run::completeOne(std::string kind, std::string request, std::string model)
{
    const kind_figures figures = figuresOf(kind);
    const std::string prompt = "request " + request + " of seed " + std::to_string(m_options.seed);
    const std::string expected = expectedText(model, prompt, figures.tokens);
    const base::time_point giveUp = base::clock::now() + m_options.patience;
    std::optional<net::address> node;
    for (int number = 1;; ++number) {
        node = m_balancer.pick(node);
        attempt entry;
        entry.kind = kind;
        entry.request = request;
        entry.number = number;
        entry.node = toString(*node);
        entry.subject = model;
        entry = co_await m_sender.complete(entry, *node, bodyFor(model, prompt, figures), expected, figures.stream, figures.timeout);
        entry.givenUp = !entry.whole && base::clock::now() >= giveUp;
        m_history.write(toLine(entry));
        if (entry.whole || entry.givenUp) {
            co_return;
        }
        co_await net::sleepFor(retryPause);
    }
}

asio::awaitable<void> load_run::orders(int caller)
{
    for (int count = 0; !isOver(); ++count) {
        co_await orderOne("order-" + std::to_string(m_options.seed) + '-' + std::to_string(caller) + '-' + std::to_string(count));
        co_await net::sleepFor(base::milliseconds(m_random.between(shortestPause.count(), longestPause.count())));
    }
}

asio::awaitable<void> load_run::orderOne(std::string key)
{
    const base::time_point giveUp = base::clock::now() + m_options.patience;
    const bool hasTwin = m_random.chance(twinShare);
    // A twin goes through another node, so neither of them may claim to be the only attempt.
    const bool isMarked = !hasTwin && m_random.chance(firstAttemptShare);
    std::optional<net::address> node = m_balancer.pick(std::nullopt);
    if (hasTwin) {
        asio::co_spawn(m_context, sendOrderTwin(key, m_balancer.pick(node)), asio::detached);
    }
    int unknownAnswers = 0;
    for (int number = 1;; ++number) {
        const attempt entry = co_await sendOrder(key, key, number, *node, isMarked && number == 1);
        const bool endsHere = entry.run == "not run" && m_random.chance(endsAfterNotRunShare);
        if (entry.whole && m_random.chance(repeatShare)) {
            co_await sendOrder(key, key + "-repeat", 1, m_balancer.pick(node), false);
        }
        unknownAnswers += entry.run == "unknown" ? 1 : 0;
        if (entry.whole || endsHere || unknownAnswers == mostUnknownAnswers || base::clock::now() >= giveUp) {
            co_return;
        }
        co_await net::sleepFor(retryPause);
        node = m_balancer.pick(node);
    }
}

asio::awaitable<attempt> load_run::sendOrder(std::string key, std::string request, int number, net::address node, bool isFirst)
{
    attempt entry;
    entry.kind = "order";
    entry.request = std::move(request);
    entry.number = number;
    entry.node = toString(node);
    entry.subject = std::move(key);
    entry = co_await m_sender.order(entry, node, m_options.orderPath, isFirst, orderTimeout);
    m_history.write(toLine(entry));
    co_return entry;
}

asio::awaitable<void> load_run::sendOrderTwin(std::string key, net::address node)
{
    co_await sendOrder(key, key + "-twin", 1, node, false);
}

} // namespace chervilbend::load
