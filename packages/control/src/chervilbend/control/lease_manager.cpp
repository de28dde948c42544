#include <chervilbend/control/lease_manager.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/log_progress.hpp>
#include <chervilbend/membership/rendezvous.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <set>

namespace chervilbend::control
{

namespace
{

const auto logger = base::partLogger("lease");

/// Short enough to detect read-back heartbeats and term expiry well within lease_times::margin.
constexpr base::milliseconds tickInterval{250};

} // namespace

lease_manager::lease_manager(
    base::node_id self, base::incarnation incarnation, const state::replicated_state &state, const log_progress &progress, entry_sink &sink, lease_times times)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_state(state)
    , m_progress(progress)
    , m_sink(sink)
    , m_times(times)
{
}

boost::asio::awaitable<void> lease_manager::run(std::function<std::vector<base::node_id>()> eligible)
{
    while (true) {
        tick(eligible());
        co_await net::sleepFor(tickInterval);
    }
}

void lease_manager::setOutstandingCommandsCheck(std::function<bool()> commandsOutstanding)
{
    m_commandsOutstanding = std::move(commandsOutstanding);
}

void lease_manager::tick(const std::vector<base::node_id> &eligible)
{
    const std::vector<base::node_id> candidates = membership::holderCandidates(eligible);
    // Records an expired term first, since a heartbeat that was read back in the meantime would conceal it.
    recordTermExpiry();
    m_heartbeatTracker.update(m_state);
    processReadBackHeartbeat();
    updateHeldLeases();
    sendHeartbeat(candidates);
    if (m_stopping) {
        return;
    }
    std::vector<state::entry> takeEntries;
    for (const base::lease_name &name : allLeases()) {
        evaluateLease(name, candidates, takeEntries);
    }
    if (!takeEntries.empty()) {
        m_sink.appendBatch(std::move(takeEntries));
    }
}

void lease_manager::recordTermExpiry()
{
    const base::time_point now = base::clock::now();
    if (now >= m_termEnd && m_termExpiredAt < m_termEnd) {
        LOG4CXX_WARN(logger, "The term of " << m_heldLeases.size() << " leases expired: no heartbeat was read back in time.");
    }
    if (now >= m_termEnd) {
        m_termExpiredAt = now;
    }
}

void lease_manager::processReadBackHeartbeat()
{
    const auto own = m_state.heartbeats().find(m_self);
    if (own == m_state.heartbeats().end() || own->second.incarnation != m_incarnation || own->second.record <= m_readBackOffset) {
        return;
    }
    m_readBackOffset = own->second.record;
    const auto sent = std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(), [&own](const auto &each) { return each.first == own->second.sentAt; });
    if (sent != m_sentHeartbeats.end()) {
        m_termEnd = std::max(m_termEnd, sent->second + m_times.term);
        m_sentHeartbeats.erase(m_sentHeartbeats.begin(), std::next(sent));
    }
}

void lease_manager::updateHeldLeases()
{
    const base::time_point now = base::clock::now();
    for (const auto &[name, lease] : m_state.leases()) {
        if (lease.holder != m_self || lease.incarnation != m_incarnation) {
            if (m_heldLeases.erase(name) > 0) {
                LOG4CXX_INFO(logger, name << " is now held by " << (lease.holder.empty() ? std::string("nobody") : lease.holder.value()) << '.');
            }
            continue;
        }
        const auto known = m_heldLeases.find(name);
        if (known != m_heldLeases.end() && known->second.token == lease.token) {
            continue;
        }
        const auto pending = m_pendingTakes.find(name);
        const base::time_point since = pending == m_pendingTakes.end() ? now : pending->second;
        m_heldLeases[name] = {lease.token, since, std::nullopt};
        m_pendingTakes.erase(name);
        LOG4CXX_INFO(logger, "Acquired " << name << " with token " << lease.token << '.');
    }
    std::erase_if(m_heldLeases, [this](const auto &entry) { return !m_state.leases().contains(entry.first); });
    std::erase_if(m_pendingTakes, [&](const auto &entry) { return now - entry.second >= m_times.readBackTimeout; });
}

bool lease_manager::needsHeartbeat(const std::vector<base::node_id> &candidates) const
{
    if (!m_heldLeases.empty() || std::find(candidates.begin(), candidates.end(), m_self) != candidates.end()) {
        return true;
    }
    // The heartbeat of a former owner lifts the quarantine of its engines' items.
    for (const auto &[endpoint, items] : m_state.quarantined()) {
        for (const auto &[item, resident] : items) {
            for (const state::quarantine_view &former : resident.quarantine) {
                if (former.node == m_self && former.incarnation == m_incarnation) {
                    return true;
                }
            }
        }
    }
    return false;
}

void lease_manager::sendHeartbeat(const std::vector<base::node_id> &candidates)
{
    const base::time_point now = base::clock::now();
    if (m_heartbeatSentAt && now - *m_heartbeatSentAt < m_times.heartbeatInterval) {
        return;
    }
    // Bounds the number of pending heartbeats during a log outage; those older than a term no longer extend it.
    std::erase_if(m_sentHeartbeats, [&](const auto &each) { return now - each.second >= m_times.term; });
    constexpr std::size_t maxUnacknowledged = 3;
    if (m_sentHeartbeats.size() >= maxUnacknowledged || !needsHeartbeat(candidates)) {
        return;
    }
    m_heartbeatSentAt = now;
    // Timestamps are unique, so that a heartbeat that was read back can be identified.
    m_lastTimestamp = std::max(m_lastTimestamp + base::milliseconds(1), base::clock::wallNow());
    m_sentHeartbeats.emplace_back(m_lastTimestamp, now);
    m_sink.append(state::heartbeat_entry{m_self, m_incarnation, m_state.appliedOffset(), m_commandsOutstanding(), m_lastTimestamp});
}

std::vector<base::lease_name> lease_manager::allLeases() const
{
    std::vector<base::lease_name> names{state::plannerLease()};
    names.reserve(m_state.endpoints().size() + 1);
    for (const auto &[endpoint, view] : m_state.endpoints()) {
        names.push_back(state::endpointLease(endpoint));
    }
    return names;
}

const state::lease_view *lease_manager::find(const base::lease_name &name) const
{
    const auto lease = m_state.leases().find(name);
    return lease == m_state.leases().end() ? nullptr : &lease->second;
}

void lease_manager::evaluateLease(const base::lease_name &name, const std::vector<base::node_id> &candidates, std::vector<state::entry> &takeEntries)
{
    if (m_pendingTakes.contains(name)) {
        return;
    }
    const state::lease_view *lease = find(name);
    if (lease && lease->holder == m_self && lease->incarnation == m_incarnation) {
        m_vacantSince.erase(name);
        evaluateHeldLease(name, membership::intendedHolder(name, candidates), takeEntries);
        return;
    }
    const std::optional<base::milliseconds> vacantTime = vacantFor(name, lease);
    if (!vacantTime) {
        m_vacantSince.erase(name);
        return;
    }
    if (canHold() && *vacantTime >= takeDelay(name, candidates)) {
        take(name, lease && !lease->holder.empty() ? "the holder's term has expired" : "the lease has no holder", takeEntries);
    }
}

void lease_manager::evaluateHeldLease(const base::lease_name &name, const base::node_id &intended, std::vector<state::entry> &takeEntries)
{
    const base::time_point now = base::clock::now();
    held_lease &own = m_heldLeases.at(name);
    if (own.relinquishedAt) {
        // The hand-over may have been lost. Taking the lease again resolves this, since only one of the two entries can take effect.
        if (now - *own.relinquishedAt >= m_times.readBackTimeout && canHold()) {
            take(name, "the hand-over was not read back", takeEntries);
        }
        return;
    }
    if (!canHold()) {
        return;
    }
    if (own.since <= m_termExpiredAt) {
        take(name, "the term expired in the meantime", takeEntries);
        return;
    }
    const base::incarnation incarnation = m_heartbeatTracker.recentIncarnation(intended, now - m_times.term);
    const bool mayHandOver = !m_handedOverAt || now - *m_handedOverAt >= m_times.handOverInterval;
    if (intended != m_self && !intended.empty() && incarnation != base::incarnation(0) && mayHandOver) {
        own.relinquishedAt = now;
        m_handedOverAt = now;
        LOG4CXX_INFO(logger, "Handing " << name << " over to " << intended << ", its intended holder.");
        m_sink.append(state::lease_entry{name, own.token, state::lease_action::transfer, intended, incarnation});
    }
}

std::optional<base::milliseconds> lease_manager::vacantFor(const base::lease_name &name, const state::lease_view *lease) const
{
    const base::time_point now = base::clock::now();
    const bool ended = lease && m_state.hasEnded(lease->holder, lease->incarnation);
    if (!lease || lease->holder.empty() || ended) {
        return now - m_vacantSince.try_emplace(name, now).first->second;
    }
    // Requires the log to have been read up to its head after the expiry time: a heartbeat that is already in the log must be applied before
    // the lease counts as expired.
    const base::time_point expiry = m_heartbeatTracker.lastSeenAt(name, *lease) + m_times.term + m_times.margin;
    return m_progress.caughtUpAt() >= expiry ? std::optional(std::chrono::duration_cast<base::milliseconds>(now - expiry)) : std::nullopt;
}

base::milliseconds lease_manager::takeDelay(const base::lease_name &name, const std::vector<base::node_id> &candidates) const
{
    const std::uint64_t own = membership::rendezvousWeight(name.value(), m_self.value());
    const auto precedesSelf = [&](const base::node_id &other) {
        return membership::rendezvousWeight(name.value(), other.value()) > own;
    };
    const auto rank = std::count_if(candidates.begin(), candidates.end(), precedesSelf);
    const bool isCandidate = std::find(candidates.begin(), candidates.end(), m_self) != candidates.end();
    return isCandidate ? m_times.fallbackDelay * rank : base::milliseconds::max();
}

void lease_manager::take(const base::lease_name &name, const char *reason, std::vector<state::entry> &takeEntries)
{
    const state::lease_view *lease = find(name);
    LOG4CXX_INFO(logger, "Taking " << name << ": " << reason << '.');
    m_pendingTakes[name] = base::clock::now();
    takeEntries.emplace_back(state::lease_entry{name, lease ? lease->token : base::log_offset(0), state::lease_action::acquire, m_self, m_incarnation});
}

bool lease_manager::canHold() const
{
    // A lease acquired at the very time of the expiry cannot be distinguished from one acquired before it.
    return base::clock::now() < m_termEnd && base::clock::now() > m_termExpiredAt && !m_stopping;
}

bool lease_manager::holds(const base::lease_name &name) const
{
    const auto own = m_heldLeases.find(name);
    return own != m_heldLeases.end() && isRecordedHolder(name) && token(name) == own->second.token && !own->second.relinquishedAt
        && own->second.since > m_termExpiredAt && base::clock::now() < m_termEnd;
}

bool lease_manager::isRecordedHolder(const base::lease_name &name) const
{
    const state::lease_view *lease = find(name);
    return lease && lease->holder == m_self && lease->incarnation == m_incarnation;
}

bool lease_manager::mayCommandFencedEngine(const base::lease_name &name) const
{
    const auto own = m_heldLeases.find(name);
    return own != m_heldLeases.end() && isRecordedHolder(name) && token(name) == own->second.token && !own->second.relinquishedAt;
}

base::log_offset lease_manager::token(const base::lease_name &name) const
{
    const state::lease_view *lease = find(name);
    return lease ? lease->token : base::log_offset(0);
}

std::optional<base::time_point> lease_manager::heldSince(const base::lease_name &name) const
{
    return holds(name) ? std::optional(m_heldLeases.at(name).since) : std::nullopt;
}

void lease_manager::renewToken(const base::lease_name &name)
{
    if (holds(name) && !m_pendingTakes.contains(name)) {
        std::vector<state::entry> takeEntries;
        take(name, "a greater fencing token is required", takeEntries);
        m_sink.append(std::move(takeEntries.front()));
    }
}

void lease_manager::stop()
{
    m_stopping = true;
    const base::time_point now = base::clock::now();
    std::vector<base::node_id> others;
    for (const auto &[node, heartbeat] : m_state.heartbeats()) {
        if (node != m_self && m_heartbeatTracker.recentIncarnation(node, now - m_times.term) != base::incarnation(0)) {
            others.push_back(node);
        }
    }
    others = membership::holderCandidates(std::move(others));
    std::vector<state::entry> entries;
    for (auto &[name, own] : m_heldLeases) {
        if (holds(name)) {
            const base::node_id next = membership::intendedHolder(name, others);
            const state::lease_action action = next.empty() ? state::lease_action::release : state::lease_action::transfer;
            entries.emplace_back(state::lease_entry{name, own.token, action, next, m_heartbeatTracker.recentIncarnation(next, now - m_times.term)});
            own.relinquishedAt = now;
        }
    }
    LOG4CXX_INFO(logger, "Handing over " << entries.size() << " leases before shutdown.");
    if (!entries.empty()) {
        m_sink.appendBatch(std::move(entries));
    }
}

} // namespace chervilbend::control
