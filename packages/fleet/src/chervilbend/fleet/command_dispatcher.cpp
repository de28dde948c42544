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

constexpr int mostTries = 8;
constexpr base::milliseconds retryInterval{60};
/// Between two looks at the ledger, which learns of an ended load from the registrations, and between two questions to the engine.
constexpr base::milliseconds endPoll{50};
constexpr base::milliseconds askInterval{250};
/// A load that has not ended after its expected time and this is given up.
constexpr base::milliseconds endPatience{15'000};

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
                                       engine_inventory &ledger,
                                       command_lease &lease,
                                       std::function<const engine_rule *(const base::service_id &)> rules)
    : m_executor(executor)
    , m_engines(engines)
    , m_ledger(ledger)
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
    m_ledger.addPending(engine, 1);
    if (isIdle) {
        asio::co_spawn(m_executor, drive(engine, m_generation), asio::detached);
    }
}

void command_dispatcher::survey(const base::endpoint_id &engine)
{
    const engine_record *const record = m_ledger.find(engine);
    if (record && !record->commands && !m_queues.contains(engine)) {
        m_queues[engine];
        asio::co_spawn(m_executor, drive(engine, m_generation), asio::detached);
    }
}

void command_dispatcher::clear()
{
    ++m_generation;
    m_queues.clear();
}

asio::awaitable<void> command_dispatcher::settle(base::endpoint_id engine, std::int64_t generation)
{
    for (int tried = 0; tried < mostTries && generation == m_generation; ++tried) {
        const engine_record *const record = m_ledger.find(engine);
        if (!record || record->commands) {
            co_return;
        }
        if (tried > 0) {
            co_await net::sleepFor(statusLag + endPoll);
        }
        co_await ask(engine, generation);
    }
}

asio::awaitable<void> command_dispatcher::drive(base::endpoint_id engine, std::int64_t generation)
{
    co_await settle(engine, generation);
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
        m_ledger.addPending(engine, -1);
        if (!done) {
            revert(engine, command);
        }
        notify();
    }
}

asio::awaitable<bool> command_dispatcher::execute(base::endpoint_id engine, queued_command command, std::int64_t generation)
{
    // A command that may have been carried out is repeated until an answer settles that: given up, it could still take up room later.
    for (int tried = 0; (tried < mostTries || isInDoubt(engine)) && generation == m_generation; ++tried) {
        const step result = co_await sendOnce(engine, command, generation);
        if (result == step::done) {
            co_return true;
        }
        if (result == step::dropped && !isInDoubt(engine)) {
            co_return false;
        }
        co_await net::sleepFor(tried < mostTries ? retryInterval : statusLag);
    }
    co_return false;
}

asio::awaitable<command_dispatcher::step> command_dispatcher::sendOnce(base::endpoint_id engine, queued_command command, std::int64_t generation)
{
    const engine_record *const record = m_ledger.find(engine);
    if (!record || !m_lease.isHolder()) {
        co_return step::dropped;
    }
    if (!m_lease.mayCommand()) {
        co_return step::again;
    }
    if (!record->commands) {
        co_await settle(engine, generation);
        co_return isOver(engine, command) ? step::done : step::again;
    }
    if (isOver(engine, command)) {
        co_return step::done;
    }
    // What the engine said since the command was planned may have used its room up.
    const engine_rule *const rule = m_rules(record->entry.service);
    const std::optional<item_state> state = stateOf(*record, command.model, command.adapter);
    if (command.action == engine_action::load && (!rule || state != item_state::loading || !m_ledger.fits(engine, *rule))) {
        co_return step::dropped;
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
    const bool hadLost = record->hasLost;
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
                     .with("why", command.why)
                     .text());
    if (generation != m_generation) {
        co_return step::dropped;
    }
    // Only the engine's own answer settles a command that was lost before: a repeat that did not reach it says nothing of the first try.
    if (result == command_result::accepted || result == command_result::conflict || result == command_result::fenced || result == command_result::invalid) {
        m_ledger.noteCommand(engine, result == command_result::accepted);
    }
    switch (result) {
    case command_result::accepted:
        co_await awaitEnd(engine, command, generation);
        co_return step::done;
    case command_result::alreadyHolds:
        // An adapter that nobody uses is unloaded at once, which counts as a command, as does the lost one that had this effect.
        m_ledger.noteCommand(engine, hadLost || (command.action == engine_action::unload && !command.adapter.empty()));
        finish(engine, command);
        co_return step::done;
    case command_result::fenced:
        m_lease.resign("an engine has seen a higher fencing token");
        co_return step::dropped;
    case command_result::misdirected:
    case command_result::invalid:
        m_ledger.noteFailure(engine);
        co_return step::dropped;
    case command_result::notSent:
        m_ledger.noteFailure(engine);
        co_return step::again;
    case command_result::unknown:
        // Sent again with the same count, the command takes effect once at most: whichever comes first makes the other's count wrong.
        m_ledger.noteLost(engine);
        co_return step::again;
    case command_result::conflict:
        break;
    }
    // A status that is asked for at once may not show what became of the command.
    co_await net::sleepFor(statusLag);
    const std::optional<engine_status> status = co_await ask(engine, generation);
    if (!status || generation != m_generation) {
        co_return step::again;
    }
    if (isOver(engine, command)) {
        co_return step::done;
    }
    // The lost command was carried out, and its effect is still to come.
    if (hadLost && status->commands == expected + 1) {
        co_await awaitEnd(engine, command, generation);
        co_return step::done;
    }
    co_return step::again;
}

asio::awaitable<std::optional<engine_status>> command_dispatcher::ask(base::endpoint_id engine, std::int64_t generation)
{
    const engine_record *const record = m_ledger.find(engine);
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
    if (!status || generation != m_generation || !m_ledger.reconcile(engine, *status)) {
        co_return std::nullopt;
    }
    notify();
    co_return status;
}

asio::awaitable<void> command_dispatcher::awaitEnd(base::endpoint_id engine, queued_command command, std::int64_t generation)
{
    if (!command.adapter.empty() && command.action == engine_action::load) {
        co_await net::sleepFor(command.expected);
        if (generation == m_generation) {
            finish(engine, command);
        }
        co_return;
    }
    const base::time_point began = base::clock::now();
    base::time_point nextAsk = began + std::max(command.expected + endPoll, statusLag);
    while (generation == m_generation && !isOver(engine, command) && base::clock::now() - began < command.expected + endPatience) {
        co_await net::sleepFor(endPoll);
        if (generation != m_generation || isOver(engine, command) || base::clock::now() < nextAsk) {
            continue;
        }
        co_await ask(engine, generation);
        nextAsk = base::clock::now() + askInterval;
    }
}

bool command_dispatcher::isInDoubt(const base::endpoint_id &engine) const
{
    const engine_record *const record = m_ledger.find(engine);
    return record && record->hasLost;
}

/// Whether the ledger shows that the command's effect has come about.
bool command_dispatcher::isOver(const base::endpoint_id &engine, const queued_command &command) const
{
    const engine_record *const record = m_ledger.find(engine);
    if (!record) {
        return true;
    }
    const std::optional<item_state> state = stateOf(*record, command.model, command.adapter);
    return command.action == engine_action::unload ? !state : state == item_state::loaded;
}

void command_dispatcher::finish(const base::endpoint_id &engine, const queued_command &command)
{
    if (command.action == engine_action::load) {
        m_ledger.finishLoad(engine, command.model, command.adapter);
    } else {
        m_ledger.finishUnload(engine, command.model, command.adapter);
    }
    notify();
}

void command_dispatcher::revert(const base::endpoint_id &engine, const queued_command &command)
{
    LOG4CXX_WARN(placeLog(),
                 base::log_event("commandGivenUp")
                     .with("endpoint", engine.value())
                     .with("action", nameOf(command.action))
                     .with("model", command.model)
                     .with("adapter", command.adapter)
                     .text());
    if (command.action == engine_action::load) {
        m_ledger.cancelLoad(engine, command.model, command.adapter);
    } else {
        m_ledger.cancelUnload(engine, command.model, command.adapter);
    }
}

} // namespace chervilbend::fleet
