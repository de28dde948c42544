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
    settle();
    return applyAt(command, base::clock::now());
}

void engine_model::applyLater(const external::engine_command &command, base::milliseconds delay)
{
    settle();
    m_late.emplace(base::clock::now() + delay, command);
}

void engine_model::setLoadTime(const base::item_id &item, base::milliseconds duration)
{
    settle();
    const auto held = m_items.find(item);
    if (held != m_items.end() && held->second.now == stage::loading) {
        held->second.ends = base::clock::now() + duration;
    }
}

void engine_model::setLoad(std::int64_t running, std::int64_t queued)
{
    settle();
    m_runningRequests = running;
    m_queuedRequests = queued;
    recordChange(base::clock::now());
}

void engine_model::crash()
{
    settle();
    m_running = false;
    m_token = {};
    m_runningRequests = 0;
    m_queuedRequests = 0;
    m_items.clear();
    m_used = {};
    m_reports.clear();
}

void engine_model::start()
{
    settle();
    if (!m_running) {
        m_running = true;
        m_options.life += base::incarnation(1);
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
    settle();
    std::vector<base::item_id> loaded;
    for (const auto &[item, held] : m_items) {
        if (held.now == stage::loaded) {
            loaded.push_back(item);
        }
    }
    return loaded;
}

external::engine_report engine_model::report()
{
    settle();
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
    settle();
    const auto found = m_items.find(item);
    return found != m_items.end() && found->second.now == stage::loaded;
}

const engine_options &engine_model::options() const
{
    return m_options;
}

base::byte_count engine_model::used()
{
    settle();
    return m_used;
}

base::byte_count engine_model::highestUsed()
{
    settle();
    return m_highestUsed;
}

bool engine_model::wasOvercommitted()
{
    return highestUsed() > m_options.memory;
}

void engine_model::settle()
{
    const base::time_point now = base::clock::now();
    while (settleNext(now)) { }
}

/// Lets the earliest thing that has come due by @p now take effect; false when there is none.
bool engine_model::settleNext(base::time_point now)
{
    auto ending = m_items.end();
    for (auto item = m_items.begin(); item != m_items.end(); ++item) {
        if (item->second.now != stage::loaded && (ending == m_items.end() || item->second.ends < ending->second.ends)) {
            ending = item;
        }
    }
    const base::time_point itemDue = ending == m_items.end() ? base::time_point::max() : ending->second.ends;
    const base::time_point commandDue = m_late.empty() ? base::time_point::max() : m_late.begin()->first;
    const base::time_point due = std::min(itemDue, commandDue);
    if (due > now) {
        return false;
    }
    if (commandDue < itemDue) {
        const auto late = m_late.extract(m_late.begin());
        applyAt(late.mapped(), due);
        return true;
    }
    if (ending->second.now == stage::loading) {
        ending->second.now = stage::loaded;
    } else {
        m_used -= ending->second.bytes;
        m_items.erase(ending);
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
        if (command.fencingToken < m_token) {
            return external::command_status::refused;
        }
        m_token = command.fencingToken;
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
    const auto [held, isNew] = m_items.try_emplace(command.item);
    if (!isNew && held->second.now != stage::unloading) {
        return;
    }
    if (isNew) {
        held->second.bytes = command.bytes;
        m_used += command.bytes;
        m_highestUsed = std::max(m_highestUsed, m_used);
    }
    held->second.now = stage::loading;
    held->second.ends = when + loadTime(command.item);
}

void engine_model::unload(const base::item_id &item, base::time_point when)
{
    const auto held = m_items.find(item);
    if (held != m_items.end() && held->second.now != stage::unloading) {
        held->second.now = stage::unloading;
        held->second.ends = when + m_options.unloadTime;
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
    report.incarnation = m_options.life;
    report.fencingToken = m_token;
    report.running = m_runningRequests;
    report.queued = m_queuedRequests;
    for (const auto &[item, held] : m_items) {
        report.items.push_back({item, held.bytes, held.now == stage::loaded});
    }
    m_reports.record(when, std::move(report));
}

} // namespace chervilbend::fakes
