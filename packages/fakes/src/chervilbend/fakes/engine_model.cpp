#include <chervilbend/fakes/engine_model.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::fakes
{

namespace
{

constexpr base::milliseconds modelLoadTime{2'000};
constexpr base::milliseconds adapterLoadTime{6};

} // namespace

engine_model::engine_model(engine_options options, std::shared_ptr<weight_store_model> store)
    : m_options(options)
    , m_store(std::move(store))
{
    recordChange(base::clock::now());
}

external::command_status engine_model::apply(const external::engine_command &command)
{
    applyDueChanges();
    return applyAt(command, base::clock::now());
}

void engine_model::applyLater(const external::engine_command &command, base::milliseconds delay)
{
    applyDueChanges();
    m_delayedCommands.emplace(base::clock::now() + delay, command);
}

void engine_model::setLoadTime(const base::item_id &item, base::milliseconds duration)
{
    applyDueChanges();
    const auto resident = m_items.find(item);
    if (resident != m_items.end() && resident->second.current == stage::loading) {
        resident->second.stageEnd = base::clock::now() + duration;
    }
}

void engine_model::setLoad(std::int64_t running, std::int64_t queued)
{
    applyDueChanges();
    m_runningRequests = running;
    m_queuedRequests = queued;
    recordChange(base::clock::now());
}

void engine_model::crash()
{
    applyDueChanges();
    m_running = false;
    m_highestToken = {};
    m_runningRequests = 0;
    m_queuedRequests = 0;
    m_items.clear();
    m_used = {};
    m_reports.clear();
}

void engine_model::start()
{
    applyDueChanges();
    if (!m_running) {
        m_running = true;
        m_options.incarnation += base::incarnation(1);
        recordChange(base::clock::now());
    }
}

void engine_model::restart()
{
    crash();
    start();
}

void engine_model::setReportLag(base::milliseconds lag)
{
    m_options.reportLag = lag;
}

std::vector<base::item_id> engine_model::loadedItems()
{
    applyDueChanges();
    std::vector<base::item_id> loaded;
    for (const auto &[item, resident] : m_items) {
        if (resident.current == stage::loaded) {
            loaded.push_back(item);
        }
    }
    return loaded;
}

external::engine_report engine_model::report()
{
    applyDueChanges();
    if (!m_running) {
        return {};
    }
    external::engine_report report = m_reports.at(base::clock::now() - m_options.reportLag);
    report.lag = m_options.reportLag;
    return report;
}

bool engine_model::isRunning() const
{
    return m_running;
}

bool engine_model::isLoaded(const base::item_id &item)
{
    applyDueChanges();
    const auto found = m_items.find(item);
    return found != m_items.end() && found->second.current == stage::loaded;
}

const engine_options &engine_model::options() const
{
    return m_options;
}

base::byte_count engine_model::used()
{
    applyDueChanges();
    return m_used;
}

base::byte_count engine_model::highestUsed()
{
    applyDueChanges();
    return m_highestUsed;
}

bool engine_model::wasOvercommitted()
{
    return highestUsed() > m_options.memory;
}

void engine_model::applyDueChanges()
{
    const base::time_point now = base::clock::now();
    while (applyNextChange(now)) { }
}

/// Applies the earliest change that is due by @p now. False when there is none.
bool engine_model::applyNextChange(base::time_point now)
{
    auto nextItem = m_items.end();
    for (auto item = m_items.begin(); item != m_items.end(); ++item) {
        if (item->second.current != stage::loaded && (nextItem == m_items.end() || item->second.stageEnd < nextItem->second.stageEnd)) {
            nextItem = item;
        }
    }
    const base::time_point itemDue = nextItem == m_items.end() ? base::time_point::max() : nextItem->second.stageEnd;
    const base::time_point commandDue = m_delayedCommands.empty() ? base::time_point::max() : m_delayedCommands.begin()->first;
    const base::time_point due = std::min(itemDue, commandDue);
    if (due > now) {
        return false;
    }
    if (commandDue < itemDue) {
        const auto delayed = m_delayedCommands.extract(m_delayedCommands.begin());
        applyAt(delayed.mapped(), due);
        return true;
    }
    if (nextItem->second.current == stage::loading) {
        nextItem->second.current = stage::loaded;
    } else {
        m_used -= nextItem->second.bytes;
        m_items.erase(nextItem);
    }
    recordChange(due);
    return true;
}

external::command_status engine_model::applyAt(const external::engine_command &command, base::time_point when)
{
    if (!m_running) {
        return external::command_status::notSent;
    }
    if (m_options.checksFencing) {
        if (command.fencingToken < m_highestToken) {
            return external::command_status::refused;
        }
        m_highestToken = command.fencingToken;
    }
    if (command.action == external::engine_action::load) {
        load(command, when);
    } else if (command.action == external::engine_action::unload) {
        unload(command.item, when);
    }
    recordChange(when);
    return external::command_status::accepted;
}

void engine_model::load(const external::engine_command &command, base::time_point when)
{
    const auto [resident, isNew] = m_items.try_emplace(command.item);
    if (!isNew && resident->second.current != stage::unloading) {
        return;
    }
    if (isNew) {
        resident->second.bytes = command.bytes;
        m_used += command.bytes;
        m_highestUsed = std::max(m_highestUsed, m_used);
    }
    resident->second.current = stage::loading;
    resident->second.stageEnd = when + loadTime(command.item);
}

void engine_model::unload(const base::item_id &item, base::time_point when)
{
    const auto resident = m_items.find(item);
    if (resident != m_items.end() && resident->second.current != stage::unloading) {
        resident->second.current = stage::unloading;
        resident->second.stageEnd = when + m_options.unloadTime;
    }
}

base::milliseconds engine_model::loadTime(const base::item_id &item)
{
    const bool isAdapter = item.value().find('/') != std::string::npos;
    if (!m_store) {
        return isAdapter ? adapterLoadTime : modelLoadTime;
    }
    return isAdapter ? m_store->beginAdapterLoad() : m_store->beginModelLoad();
}

void engine_model::recordChange(base::time_point when)
{
    external::engine_report report;
    report.incarnation = m_options.incarnation;
    report.fencingToken = m_highestToken;
    report.running = m_runningRequests;
    report.queued = m_queuedRequests;
    for (const auto &[item, resident] : m_items) {
        report.items.push_back({item, resident.bytes, resident.current == stage::loaded});
    }
    m_reports.record(when, std::move(report));
}

} // namespace chervilbend::fakes
