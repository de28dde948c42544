#include <chervilbend/fleet/store_relay.hpp>

#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace chervilbend::fleet
{

namespace
{

/// Ended registrations are told one by one for so long; a node that was away for longer gets all that still stand.
constexpr base::milliseconds endedLife{30'000};

/// What nodes need of an entry. Models and the count of writes change too often to be passed on.
endpoint_entry passedOn(const endpoint_entry &entry)
{
    endpoint_entry kept = entry;
    kept.models.clear();
    kept.cached.clear();
    kept.heartbeat = 0;
    return kept;
}

} // namespace

store_relay::store_relay(const endpoint_registry &registry, endpoint_follower &endpoints, configuration_follower &configuration)
    : m_registry(registry)
    , m_endpoints(endpoints)
    , m_configuration(configuration)
{
}

void store_relay::leaseChanged(bool isHolder)
{
    m_endpoints.setHolder(isHolder);
    m_configuration.setHolder(isHolder);
}

void store_relay::noteChanged(const std::set<base::endpoint_id> &changed)
{
    const base::time_point now = base::clock::now();
    for (const base::endpoint_id &id : changed) {
        const auto known = m_registry.endpoints().find(id);
        const bool hasEnded = known == m_registry.endpoints().end();
        std::optional<endpoint_entry> entry = hasEnded ? std::nullopt : std::optional(passedOn(known->second.entry));
        const auto mark = m_marks.find(id);
        if (mark != m_marks.end() && mark->second.entry == entry) {
            continue;
        }
        m_marks[id] = {++m_version, std::move(entry), now};
    }
    std::erase_if(m_marks, [&](const auto &mark) {
        const bool isOld = !mark.second.entry && now - mark.second.endedAt > endedLife;
        m_forgotten = isOld ? std::max(m_forgotten, mark.second.version) : m_forgotten;
        return isOld;
    });
}

store_update store_relay::newsSince(std::int64_t version) const
{
    const base::time_point now = base::clock::now();
    store_update news;
    if (m_configuration.position()) {
        news.configurationPosition = *m_configuration.position();
        news.configurationAge = now - m_configuration.confirmedAt();
    }
    if (!m_endpoints.position() || m_registry.isRelayed()) {
        return news;
    }
    news.registrationsPosition = *m_endpoints.position();
    news.registrationsAge = now - m_endpoints.readAt();
    news.registrationsVersion = m_version;
    news.isWhole = version == 0 || version < m_forgotten || version > m_version;
    for (const auto &[id, mark] : m_marks) {
        if (news.isWhole ? mark.entry.has_value() : mark.version > version) {
            news.registrations.push_back({id, mark.entry});
        }
    }
    return news;
}

void store_relay::take(std::int64_t token, const store_update &news, base::time_point asked)
{
    if (news.configurationPosition >= 0) {
        m_configuration.noteNewest(news.configurationPosition, asked - news.configurationAge);
    }
    const bool isUsable = news.registrationsPosition >= 0 && (news.isWhole || token == m_takenToken);
    if (isUsable && m_endpoints.takeRelayed(news, asked - news.registrationsAge)) {
        m_takenToken = token;
        m_takenVersion = news.registrationsVersion;
    }
}

} // namespace chervilbend::fleet
