#include <chervilbend/fakes/log_store.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace chervilbend::fakes
{

log_store::log_store(log_store_options options)
    : m_options(options)
    , m_random(options.seed)
{
}

external::append_result log_store::append(std::string payload)
{
    ++m_appendCount;
    applyDueChanges();
    if (m_faults.outage) {
        return {external::append_status::refused, {}};
    }
    if (m_random.chance(m_faults.lostAppends)) {
        return {external::append_status::unknown, {}};
    }
    if (m_random.chance(m_faults.lateAppends)) {
        const base::milliseconds lateBy = m_faults.answerTimeout + base::milliseconds(m_random.between(0, m_faults.lateBy.count()));
        m_delayedAppends.emplace(base::clock::now() + lateBy, std::move(payload));
        notify();
        return {external::append_status::unknown, {}};
    }
    const base::log_offset offset = appendRecord(std::move(payload), base::clock::now());
    notify();
    if (m_random.chance(m_faults.lostAnswers)) {
        return {external::append_status::unknown, {}};
    }
    return {external::append_status::accepted, offset};
}

void log_store::setFaults(const log_faults &faults)
{
    applyDueChanges();
    m_faults = faults;
    notify();
}

std::uint64_t log_store::subscribe(std::function<void()> listener)
{
    m_listeners.emplace(++m_lastSubscription, std::move(listener));
    return m_lastSubscription;
}

void log_store::unsubscribe(std::uint64_t subscription)
{
    m_listeners.erase(subscription);
}

external::log_page log_store::read(base::log_offset after)
{
    applyDueChanges();
    external::log_page page;
    page.head = base::log_offset(m_head);
    page.firstRetained = m_records.empty() ? base::log_offset(m_head + 1) : m_records.front().record.offset;
    std::size_t bytes = 0;
    const std::int64_t skip = std::max<std::int64_t>(0, after.count() - page.firstRetained.count() + 1);
    for (auto i = static_cast<std::size_t>(skip); i < m_records.size(); ++i) {
        const external::log_record &record = m_records[i].record;
        if (page.records.size() == m_options.pageRecords || (!page.records.empty() && bytes + record.payload.size() > m_options.pageBytes)) {
            break;
        }
        bytes += record.payload.size();
        page.records.push_back(record);
    }
    return page;
}

const log_faults &log_store::faults() const
{
    return m_faults;
}

base::log_offset log_store::head()
{
    applyDueChanges();
    return base::log_offset(m_head);
}

base::time_point log_store::nextLateAppend() const
{
    return m_delayedAppends.empty() ? base::time_point::max() : m_delayedAppends.begin()->first;
}

std::uint64_t log_store::appendCount() const
{
    return m_appendCount;
}

void log_store::applyDueChanges()
{
    const base::time_point now = base::clock::now();
    while (!m_faults.outage && !m_delayedAppends.empty() && m_delayedAppends.begin()->first <= now) {
        auto delayed = m_delayedAppends.extract(m_delayedAppends.begin());
        appendRecord(std::move(delayed.mapped()), delayed.key());
    }
    while (!m_records.empty() && (m_records.size() > m_options.maxRecords || m_records.front().appended + m_options.retention < now)) {
        m_records.pop_front();
    }
}

base::log_offset log_store::appendRecord(std::string payload, base::time_point when)
{
    const base::log_offset offset(++m_head);
    m_records.push_back({{offset, std::move(payload)}, when});
    if (m_records.size() > m_options.maxRecords) {
        m_records.pop_front();
    }
    return offset;
}

void log_store::notify()
{
    std::vector<std::function<void()>> listeners;
    listeners.reserve(m_listeners.size());
    for (const auto &[subscription, listener] : m_listeners) {
        listeners.push_back(listener);
    }
    for (const std::function<void()> &listener : listeners) {
        listener();
    }
}

} // namespace chervilbend::fakes
