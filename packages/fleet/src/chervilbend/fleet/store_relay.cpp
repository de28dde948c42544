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

/// How long ended registrations are kept for incremental updates; a node whose version is older gets a full snapshot.
constexpr base::milliseconds removalRetention{30'000};

/// The part of an entry whose changes nodes need. Models and the heartbeat change too often to be relayed.
endpoint_entry relayedEntry(const endpoint_entry &entry)
{
    endpoint_entry relayed = entry;
    relayed.models.clear();
    relayed.cached.clear();
    relayed.heartbeat = 0;
    return relayed;
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
        std::optional<endpoint_entry> entry = hasEnded ? std::nullopt : std::optional(relayedEntry(known->second.entry));
        const auto change = m_changes.find(id);
        if (change != m_changes.end() && change->second.entry == entry) {
            continue;
        }
        m_changes[id] = {++m_version, std::move(entry), hasEnded ? 0 : known->second.entry.heartbeat, now};
    }
    std::erase_if(m_changes, [&](const auto &change) {
        const bool isOld = !change.second.entry && now - change.second.endedAt > removalRetention;
        m_discardedVersion = isOld ? std::max(m_discardedVersion, change.second.version) : m_discardedVersion;
        return isOld;
    });
}

store_update store_relay::updatesSince(std::int64_t version, bool mayBeSnapshot) const
{
    const base::time_point now = base::clock::now();
    store_update update;
    if (m_configuration.position()) {
        update.configurationPosition = *m_configuration.position();
        update.configurationAge = now - m_configuration.confirmedAt();
    }
    if (!m_endpoints.position() || m_registry.isRelayed()) {
        return update;
    }
    update.isSnapshot = version == 0 || version < m_discardedVersion || version > m_version;
    if (update.isSnapshot && !mayBeSnapshot) {
        return update;
    }
    update.registrationsPosition = *m_endpoints.position();
    update.registrationsAge = now - m_endpoints.readAt().steady;
    update.registrationsVersion = m_version;
    for (const auto &[id, change] : m_changes) {
        if (update.isSnapshot ? change.entry.has_value() : change.version > version) {
            endpoint_change &relayed = update.registrations.emplace_back(endpoint_change{id, change.entry});
            if (relayed.entry) {
                relayed.entry->heartbeat = change.heartbeat;
            }
        }
    }
    return update;
}

void store_relay::apply(std::int64_t token, const store_update &update, const read_time &requestedAt)
{
    if (update.configurationPosition >= 0) {
        m_configuration.noteHolderPosition(update.configurationPosition, requestedAt.steady - update.configurationAge);
    }
    const bool isUsable = update.registrationsPosition >= 0 && (update.isSnapshot || token == m_appliedToken);
    if (isUsable && m_endpoints.applyRelayed(update, requestedAt - update.registrationsAge)) {
        m_appliedToken = token;
        m_appliedVersion = update.registrationsVersion;
    }
}

} // namespace chervilbend::fleet
