#include <chervilbend/fleet/command_dispatcher.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

constexpr int maxAttempts = 8;
constexpr base::milliseconds retryInterval{60};
/// Interval of checks of the inventory, which learns of finished loads from the registrations, and interval of status queries to the engine.
constexpr base::milliseconds completionPollInterval{50};
constexpr base::milliseconds statusQueryInterval{250};
/// A command that has not finished this long after its expected time is no longer waited for.
constexpr base::milliseconds completionTimeout{15'000};

const log4cxx::LoggerPtr &placeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("place");
    return logger;
}

std::string_view nameOf(engine_action action)
{
    return action == engine_action::load ? "load" : "unload";
}

std::string namesOf(const std::vector<resident_model> &models)
{
    std::string names;
    for (const resident_model &model : models) {
        names.append(names.empty() ? "" : " ").append(model.name).append("+").append(std::to_string(model.adapters.size()));
    }
    return names;
}

std::string_view nameOf(command_result result)
{
    switch (result) {
    case command_result::accepted:
        return "accepted";
    case command_result::alreadyHolds:
        return "alreadyHolds";
    case command_result::conflict:
        return "conflict";
    case command_result::fenced:
        return "fenced";
    case command_result::misdirected:
        return "misdirected";
    case command_result::invalid:
        return "invalid";
    case command_result::notSent:
        return "notSent";
    case command_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace

command_dispatcher::command_dispatcher(const asio::any_io_executor &executor,
                                       engine_commands &engines,
                                       engine_inventory &inventory,
                                       command_lease &lease,
                                       std::function<const engine_rule *(const base::service_id &)> rules)
    : m_executor(executor)
    , m_engines(engines)
    , m_inventory(inventory)
    , m_lease(lease)
    , m_rules(std::move(rules))
{
}

void command_dispatcher::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void command_dispatcher::notify() const
{
    if (m_listener) {
        m_listener();
    }
}

void command_dispatcher::enqueue(const base::endpoint_id &engine, queued_command command)
{
    const bool isIdle = !m_queues.contains(engine);
    m_queues[engine].push_back(std::move(command));
    m_inventory.addPending(engine, 1);
    if (isIdle) {
        asio::co_spawn(m_executor, processQueue(engine, m_generation), asio::detached);
    }
}

void command_dispatcher::queryState(const base::endpoint_id &engine)
{
    const engine_record *const record = m_inventory.find(engine);
    if (record && !record->commands && !m_queues.contains(engine)) {
        m_queues[engine];
        asio::co_spawn(m_executor, processQueue(engine, m_generation), asio::detached);
    }
}

void command_dispatcher::clear()
{
    ++m_generation;
    m_queues.clear();
}

asio::awaitable<void> command_dispatcher::resolveCommandCount(base::endpoint_id engine, std::int64_t generation)
{
    for (int attempt = 0; attempt < maxAttempts && generation == m_generation; ++attempt) {
        const engine_record *const record = m_inventory.find(engine);
        if (!record || record->commands) {
            co_return;
        }
        if (attempt > 0) {
            co_await net::sleepFor(statusLag + completionPollInterval);
        }
        co_await queryStatus(engine, generation);
    }
}

asio::awaitable<void> command_dispatcher::processQueue(base::endpoint_id engine, std::int64_t generation)
{
    co_await resolveCommandCount(engine, generation);
    while (generation == m_generation) {
        const auto queue = m_queues.find(engine);
        if (queue == m_queues.end()) {
            co_return;
        }
        if (queue->second.empty()) {
            m_queues.erase(queue);
            co_return;
        }
        const queued_command command = queue->second.front();
        queue->second.pop_front();
        const bool done = co_await execute(engine, command, generation);
        if (generation != m_generation) {
            co_return;
        }
        m_inventory.addPending(engine, -1);
        if (!done) {
            cancel(engine, command);
        }
        notify();
    }
}

asio::awaitable<bool> command_dispatcher::execute(base::endpoint_id engine, queued_command command, std::int64_t generation)
{
    // A command that may have been executed is repeated until an answer shows its outcome: a cancelled load could still occupy memory later.
    for (int attempt = 0; (attempt < maxAttempts || isOutcomeUnknown(engine)) && generation == m_generation; ++attempt) {
        const send_result result = co_await sendOnce(engine, command, generation);
        if (result == send_result::done) {
            co_return true;
        }
        if (result == send_result::dropped && !isOutcomeUnknown(engine)) {
            co_return false;
        }
        co_await net::sleepFor(attempt < maxAttempts ? retryInterval : statusLag);
    }
    co_return false;
}

asio::awaitable<command_dispatcher::send_result> command_dispatcher::sendOnce(base::endpoint_id engine, queued_command command, std::int64_t generation)
{
    const engine_record *const record = m_inventory.find(engine);
    if (!record || !m_lease.isHolder()) {
        co_return send_result::dropped;
    }
    if (!m_lease.mayCommand()) {
        co_return send_result::retry;
    }
    if (!record->commands) {
        co_await resolveCommandCount(engine, generation);
        if (!isComplete(engine, command)) {
            co_return send_result::retry;
        }
    }
    if (isComplete(engine, command)) {
        m_inventory.forgetLostAnswer(engine);
        co_return send_result::done;
    }
    // A status or registration received after the command was planned may have used up the memory.
    const engine_rule *const rule = m_rules(record->entry.service);
    const std::optional<item_state> state = stateOf(*record, command.model, command.adapter);
    if (command.action == engine_action::load && (!rule || state != item_state::loading || !m_inventory.fits(engine, *rule))) {
        co_return send_result::dropped;
    }
    engine_command message;
    message.action = command.action;
    message.model = command.model;
    message.adapter = command.adapter;
    message.expectedCommands = record->commands;
    message.holder = base::node_id(m_lease.holder() ? m_lease.holder()->holder.value() : std::string());
    message.fencingToken = m_lease.token();
    ++m_sent;
    m_modelLoads += command.action == engine_action::load && command.adapter.empty() ? 1 : 0;
    const net::address address = record->entry.address;
    const std::int64_t expected = *record->commands;
    const bool hadLostAnswer = record->hasLostAnswer;
    const command_result result = co_await m_engines.send(address, engine, message);
    LOG4CXX_INFO(placeLog(),
                 base::log_event("command")
                     .with("endpoint", engine.value())
                     .with("action", nameOf(command.action))
                     .with("model", command.model)
                     .with("adapter", command.adapter)
                     .with("token", message.fencingToken)
                     .with("expected", expected)
                     .with("result", nameOf(result))
                     .with("why", command.reason)
                     .text());
    if (generation != m_generation) {
        co_return send_result::dropped;
    }
    // Only an answer of the engine shows the outcome of an earlier command whose answer was lost; a retry that did not reach the engine does not.
    if (result == command_result::accepted || result == command_result::conflict || result == command_result::fenced || result == command_result::invalid) {
        m_inventory.recordCommand(engine, result == command_result::accepted);
    }
    switch (result) {
    case command_result::accepted:
        co_await awaitCompletion(engine, command, generation);
        co_return send_result::done;
    case command_result::alreadyHolds:
        // The unload of an unused adapter completes at once and counts as a command; so does the earlier command whose answer was lost.
        m_inventory.recordCommand(engine, hadLostAnswer || (command.action == engine_action::unload && !command.adapter.empty()));
        finish(engine, command);
        co_return send_result::done;
    case command_result::fenced:
        m_lease.resign("an engine has seen a higher fencing token");
        co_return send_result::dropped;
    case command_result::misdirected:
    case command_result::invalid:
        m_inventory.recordFailure(engine);
        co_return send_result::dropped;
    case command_result::notSent:
        m_inventory.recordFailure(engine);
        co_return send_result::retry;
    case command_result::unknown:
        // Sent again with the same count, the command takes effect at most once: the first copy to arrive invalidates the count of the other.
        m_inventory.recordLostAnswer(engine);
        co_return send_result::retry;
    case command_result::conflict:
        break;
    }
    // A status that is queried at once may not yet show the outcome of the command.
    co_await net::sleepFor(statusLag);
    const std::optional<engine_status> status = co_await queryStatus(engine, generation);
    if (!status || generation != m_generation) {
        co_return send_result::retry;
    }
    if (isComplete(engine, command)) {
        co_return send_result::done;
    }
    // The command whose answer was lost was accepted, but has not finished yet.
    if (hadLostAnswer && status->commands == expected + 1) {
        co_await awaitCompletion(engine, command, generation);
        co_return send_result::done;
    }
    co_return send_result::retry;
}

asio::awaitable<std::optional<engine_status>> command_dispatcher::queryStatus(base::endpoint_id engine, std::int64_t generation)
{
    const engine_record *const record = m_inventory.find(engine);
    if (!record) {
        co_return std::nullopt;
    }
    const net::address address = record->entry.address;
    std::optional<engine_status> status = co_await m_engines.status(address, engine);
    if (status) {
        LOG4CXX_INFO(placeLog(),
                     base::log_event("engineStatus")
                         .with("endpoint", engine.value())
                         .with("commands", status->commands)
                         .with("busy", status->busy)
                         .with("models", namesOf(status->models))
                         .text());
    }
    if (!status || generation != m_generation || !m_inventory.reconcile(engine, *status)) {
        co_return std::nullopt;
    }
    notify();
    co_return status;
}

asio::awaitable<void> command_dispatcher::awaitCompletion(base::endpoint_id engine, queued_command command, std::int64_t generation)
{
    if (!command.adapter.empty() && command.action == engine_action::load) {
        co_await net::sleepFor(command.expected);
        if (generation == m_generation) {
            finish(engine, command);
        }
        co_return;
    }
    const base::time_point start = base::clock::now();
    base::time_point nextQuery = start + std::max(command.expected + completionPollInterval, statusLag);
    while (generation == m_generation && !isComplete(engine, command) && base::clock::now() - start < command.expected + completionTimeout) {
        co_await net::sleepFor(completionPollInterval);
        if (generation != m_generation || isComplete(engine, command) || base::clock::now() < nextQuery) {
            continue;
        }
        co_await queryStatus(engine, generation);
        nextQuery = base::clock::now() + statusQueryInterval;
    }
}

bool command_dispatcher::isOutcomeUnknown(const base::endpoint_id &engine) const
{
    const engine_record *const record = m_inventory.find(engine);
    return record && record->hasLostAnswer;
}

/// Whether the inventory shows the effect of the command.
bool command_dispatcher::isComplete(const base::endpoint_id &engine, const queued_command &command) const
{
    const engine_record *const record = m_inventory.find(engine);
    if (!record) {
        return true;
    }
    const std::optional<item_state> state = stateOf(*record, command.model, command.adapter);
    return command.action == engine_action::unload ? !state : state == item_state::loaded;
}

void command_dispatcher::finish(const base::endpoint_id &engine, const queued_command &command)
{
    if (command.action == engine_action::load) {
        m_inventory.finishLoad(engine, command.model, command.adapter);
    } else {
        m_inventory.finishUnload(engine, command.model, command.adapter);
    }
    notify();
}

void command_dispatcher::cancel(const base::endpoint_id &engine, const queued_command &command)
{
    LOG4CXX_WARN(placeLog(),
                 base::log_event("commandGivenUp")
                     .with("endpoint", engine.value())
                     .with("action", nameOf(command.action))
                     .with("model", command.model)
                     .with("adapter", command.adapter)
                     .text());
    if (command.action == engine_action::load) {
        m_inventory.cancelLoad(engine, command.model, command.adapter);
    } else {
        m_inventory.cancelUnload(engine, command.model, command.adapter);
    }
}

} // namespace chervilbend::fleet
