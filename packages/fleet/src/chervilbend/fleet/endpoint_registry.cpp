#include <chervilbend/fleet/endpoint_registry.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::fleet
{

namespace
{

/// How long the end of a registration is remembered. The copy from which the store comes back is some seconds old.
constexpr base::milliseconds endRetention{60'000};

} // namespace

void endpoint_registry::noteStoreUnavailable(base::time_point /*now*/)
{
    m_storeUnavailable = true;
}

void endpoint_registry::noteStoreAvailable(base::time_point now)
{
    if (m_storeUnavailable) {
        m_storeUnavailable = false;
        m_graceEnd = now + reregistrationGrace;
    }
}

std::set<base::endpoint_id> endpoint_registry::apply(const std::vector<endpoint_change> &changes, base::time_point now, base::time_point requestedAt)
{
    noteStoreAvailable(now);
    std::set<base::endpoint_id> changed;
    for (const endpoint_change &change : changes) {
        if (applyChange(change, now)) {
            changed.insert(change.id);
        }
    }
    changed.merge(expire(now));
    m_lastRequest = requestedAt;
    return changed;
}

std::set<base::endpoint_id> endpoint_registry::replace(const std::vector<endpoint_change> &all, base::time_point now, base::time_point requestedAt)
{
    noteStoreAvailable(now);
    std::set<base::endpoint_id> registered;
    std::set<base::endpoint_id> changed;
    for (const endpoint_change &change : all) {
        registered.insert(change.id);
        if (applyChange(change, now)) {
            changed.insert(change.id);
        }
    }
    for (const base::endpoint_id &id : missingFrom(registered)) {
        if (endRegistration(id, now)) {
            changed.insert(id);
        }
    }
    changed.merge(expire(now));
    m_lastRequest = requestedAt;
    m_relayed = false;
    return changed;
}

std::set<base::endpoint_id> endpoint_registry::applyPart(const std::vector<endpoint_change> &some,
                                                         base::time_point now,
                                                         base::time_point requestedAt,
                                                         std::optional<base::time_point> expiry)
{
    std::set<base::endpoint_id> registered;
    for (const endpoint_change &change : some) {
        registered.insert(change.id);
    }
    for (const base::endpoint_id &id : expiry ? missingFrom(registered) : std::vector<base::endpoint_id>()) {
        std::optional<base::time_point> &expiresAt = m_endpoints[id].expiresAt;
        expiresAt = std::min(expiresAt.value_or(*expiry), *expiry);
    }
    m_relayed = false;
    return apply(some, now, requestedAt);
}

std::vector<base::endpoint_id> endpoint_registry::missingFrom(const std::set<base::endpoint_id> &registered) const
{
    std::vector<base::endpoint_id> missing;
    for (const auto &[id, known] : m_endpoints) {
        if (!registered.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

std::set<base::endpoint_id> endpoint_registry::applyRelayed(const std::vector<endpoint_change> &changes, bool isSnapshot, base::time_point now)
{
    m_relayed = true;
    std::set<base::endpoint_id> registered;
    std::set<base::endpoint_id> changed;
    for (endpoint_change change : changes) {
        registered.insert(change.id);
        const auto known = m_endpoints.find(change.id);
        const bool isKnown = known != m_endpoints.end();
        if (!change.entry) {
            // The node that read the change has already applied the grace period.
            if (isKnown) {
                erase(change.id, now);
                changed.insert(change.id);
            }
            continue;
        }
        if (isKnown && known->second.entry.startedAt == change.entry->startedAt) {
            change.entry->models = known->second.entry.models;
            change.entry->cached = known->second.entry.cached;
            change.entry->heartbeat = std::max(change.entry->heartbeat, known->second.entry.heartbeat);
            if (change.entry->softwareVersion.empty()) {
                change.entry->softwareVersion = known->second.entry.softwareVersion;
            }
        }
        if (applyChange(change, now)) {
            changed.insert(change.id);
        }
    }
    if (isSnapshot) {
        for (const base::endpoint_id &id : missingFrom(registered)) {
            erase(id, now);
            changed.insert(id);
        }
    }
    return changed;
}

std::set<base::endpoint_id> endpoint_registry::expire(base::time_point now)
{
    std::set<base::endpoint_id> gone;
    for (const auto &[id, known] : m_endpoints) {
        if (known.expiresAt && *known.expiresAt <= now) {
            gone.insert(id);
        }
    }
    for (const base::endpoint_id &id : gone) {
        erase(id, now);
    }
    return gone;
}

bool endpoint_registry::applyChange(const endpoint_change &change, base::time_point now)
{
    if (!change.entry) {
        return endRegistration(change.id, now);
    }
    endpoint_entry entry = *change.entry;
    if (hasEnded(entry)) {
        return false;
    }
    known_endpoint &known = m_endpoints[change.id];
    // A late entry of an earlier process with the same ID.
    if (entry.startedAt < known.entry.startedAt) {
        return false;
    }
    const bool isNewProcess = entry.startedAt != known.entry.startedAt;
    if (!isNewProcess && entry.heartbeat < known.entry.heartbeat) {
        // An older copy of the store has an older entry.
        known.readAt = now;
        return std::exchange(known.expiresAt, std::nullopt).has_value();
    }
    entry.draining = entry.draining || (!isNewProcess && known.entry.draining);
    const bool differs = isNewProcess || known.expiresAt || entry.draining != known.entry.draining || entry.address != known.entry.address
        || entry.softwareVersion != known.entry.softwareVersion || entry.slots != known.entry.slots || entry.models != known.entry.models;
    if (isNewProcess) {
        known.drainingSince.reset();
        known.writtenAfter = base::time_point{};
    } else if (entry.heartbeat != known.entry.heartbeat) {
        // When the last read was requested, the previous entry was still the newest one.
        known.writtenAfter = m_lastRequest;
    }
    if (entry.draining && !known.drainingSince) {
        known.drainingSince = now;
    }
    known.entry = entry;
    known.readAt = now;
    known.expiresAt.reset();
    return differs;
}

bool endpoint_registry::endRegistration(const base::endpoint_id &id, base::time_point now)
{
    const auto known = m_endpoints.find(id);
    if (known == m_endpoints.end()) {
        return false;
    }
    if (now < m_graceEnd && !known->second.entry.draining) {
        if (!known->second.expiresAt) {
            known->second.expiresAt = m_graceEnd;
        }
        return false;
    }
    erase(id, now);
    return true;
}

void endpoint_registry::erase(const base::endpoint_id &id, base::time_point now)
{
    std::erase_if(m_ended, [&](const auto &ended) { return now - ended.second.endedAt > endRetention; });
    const auto known = m_endpoints.find(id);
    if (known != m_endpoints.end()) {
        m_ended[id] = {known->second.entry.startedAt, known->second.entry.heartbeat, now};
        m_endpoints.erase(known);
    }
}

bool endpoint_registry::hasEnded(const endpoint_entry &entry) const
{
    const auto ended = m_ended.find(entry.id);
    return ended != m_ended.end() && entry.startedAt == ended->second.startedAt && entry.heartbeat > 0 && entry.heartbeat <= ended->second.heartbeat;
}

} // namespace chervilbend::fleet
