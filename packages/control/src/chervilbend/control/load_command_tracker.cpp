#include <chervilbend/control/load_command_tracker.hpp>

#include <algorithm>

namespace chervilbend::control
{

void load_command_tracker::recordSending(const base::endpoint_id &endpoint, const base::item_id &item)
{
    load &entry = m_loads[endpoint][item];
    entry.sentAt = base::clock::now();
    entry.unansweredBefore = entry.unansweredUntil;
    entry.unansweredUntil = entry.sentAt + unansweredLifetime;
    ++entry.unanswered;
}

void load_command_tracker::recordResult(const base::endpoint_id &endpoint, const base::item_id &item, external::command_status status)
{
    const auto engine = m_loads.find(endpoint);
    if (engine == m_loads.end() || !engine->second.contains(item) || status == external::command_status::unknown) {
        return;
    }
    load &entry = engine->second.at(item);
    entry.unansweredUntil = entry.unansweredBefore;
    --entry.unanswered;
    if (status != external::command_status::notSent) {
        entry.answeredUntil = base::clock::now() + answeredLifetime;
    }
}

void load_command_tracker::recordReported(const base::endpoint_id &endpoint, const base::item_id &item, base::time_point reportTime)
{
    const auto engine = m_loads.find(endpoint);
    if (engine == m_loads.end() || !engine->second.contains(item)) {
        return;
    }
    load &entry = engine->second.at(item);
    const bool isOnlyCommand = entry.unanswered == 1 && entry.answeredUntil == base::time_point::min();
    if (isOnlyCommand && entry.sentAt <= reportTime) {
        entry.unanswered = 0;
        entry.unansweredUntil = base::time_point::min();
        entry.answeredUntil = entry.sentAt + answeredLifetime;
    }
}

void load_command_tracker::clear(const base::endpoint_id &endpoint)
{
    m_loads.erase(endpoint);
}

const load_command_tracker::load *load_command_tracker::find(const base::endpoint_id &endpoint, const base::item_id &item) const
{
    const auto engine = m_loads.find(endpoint);
    if (engine == m_loads.end()) {
        return nullptr;
    }
    const auto entry = engine->second.find(item);
    return entry != engine->second.end() ? &entry->second : nullptr;
}

bool load_command_tracker::mayArrive(const base::endpoint_id &endpoint, const base::item_id &item) const
{
    const load *entry = find(endpoint, item);
    return entry && std::max(entry->answeredUntil, entry->unansweredUntil) > base::clock::now();
}

bool load_command_tracker::isUnanswered(const base::endpoint_id &endpoint, const base::item_id &item) const
{
    const load *entry = find(endpoint, item);
    return entry && entry->unansweredUntil > base::clock::now();
}

bool load_command_tracker::hasOutstanding(const std::function<bool(const base::endpoint_id &)> &appliesTo) const
{
    return std::any_of(m_loads.begin(), m_loads.end(), [&](const auto &engine) {
        const auto mayStillArrive = [this, &engine](const auto &entry) {
            return mayArrive(engine.first, entry.first);
        };
        return std::any_of(engine.second.begin(), engine.second.end(), mayStillArrive) && appliesTo(engine.first);
    });
}

} // namespace chervilbend::control
