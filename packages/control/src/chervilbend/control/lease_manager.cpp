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

/// Often enough that reading back and expiry are noticed well within the margin.
constexpr base::milliseconds tickInterval{250};

} // namespace

lease_manager::lease_manager(
    base::node_id self, base::incarnation life, const state::replicated_state &state, const log_progress &progress, entry_sink &sink, lease_times times)
    : m_self(std::move(self))
    , m_life(life)
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
    // The end of the term is noted before a heartbeat that was read back meanwhile could hide it.
    noteLapse();
    m_watch.update(m_state);
    readBackHeartbeat();
    updateHoldings();
    sendHeartbeat(candidates);
    if (m_stopping) {
        return;
    }
    std::vector<state::entry> takes;
    for (const base::lease_name &name : allLeases()) {
        decide(name, candidates, takes);
    }
    if (!takes.empty()) {
        m_sink.appendTogether(std::move(takes));
    }
}

void lease_manager::noteLapse()
{
    const base::time_point now = base::clock::now();
    if (now >= m_termEnd && m_lapsedAt < m_termEnd) {
        LOG4CXX_WARN(logger, "The term of " << m_holdings.size() << " leases ended: no heartbeat was read back in time.");
    }
    if (now >= m_termEnd) {
        m_lapsedAt = now;
    }
}

void lease_manager::readBackHeartbeat()
{
    const auto own = m_state.heartbeats().find(m_self);
    if (own == m_state.heartbeats().end() || own->second.life != m_life || own->second.record <= m_readBack) {
        return;
    }
    m_readBack = own->second.record;
    const auto sent = std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(), [&own](const auto &each) { return each.first == own->second.sentAt; });
    if (sent != m_sentHeartbeats.end()) {
        m_termEnd = std::max(m_termEnd, sent->second + m_times.term);
        m_sentHeartbeats.erase(m_sentHeartbeats.begin(), std::next(sent));
    }
}

void lease_manager::updateHoldings()
{
    const base::time_point now = base::clock::now();
    for (const auto &[name, lease] : m_state.leases()) {
        if (lease.holder != m_self || lease.life != m_life) {
            if (m_holdings.erase(name) > 0) {
                LOG4CXX_INFO(logger, name << " is now held by " << (lease.holder.empty() ? std::string("nobody") : lease.holder.value()) << '.');
            }
            continue;
        }
        const auto known = m_holdings.find(name);
        if (known != m_holdings.end() && known->second.token == lease.token) {
            continue;
        }
        const auto pending = m_pendingTakes.find(name);
        const base::time_point since = pending == m_pendingTakes.end() ? now : pending->second;
        m_holdings[name] = {lease.token, since, std::nullopt};
        m_pendingTakes.erase(name);
        LOG4CXX_INFO(logger, "Holds " << name << " with token " << lease.token << '.');
    }
    std::erase_if(m_holdings, [this](const auto &entry) { return !m_state.leases().contains(entry.first); });
    std::erase_if(m_pendingTakes, [&](const auto &entry) { return now - entry.second >= m_times.appendPatience; });
}

bool lease_manager::needsHeartbeat(const std::vector<base::node_id> &candidates) const
{
    if (!m_holdings.empty() || std::find(candidates.begin(), candidates.end(), m_self) != candidates.end()) {
        return true;
    }
    // A former owner's word lifts the quarantine of its engines' items.
    for (const auto &[endpoint, items] : m_state.quarantined()) {
        for (const auto &[item, resident] : items) {
            for (const state::quarantine_view &former : resident.quarantine) {
                if (former.node == m_self && former.life == m_life) {
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
    // While the log is down, heartbeats would pile up; those older than a term are of no use.
    std::erase_if(m_sentHeartbeats, [&](const auto &each) { return now - each.second >= m_times.term; });
    constexpr std::size_t maxUnread = 3;
    if (m_sentHeartbeats.size() >= maxUnread || !needsHeartbeat(candidates)) {
        return;
    }
    m_heartbeatSentAt = now;
    // Distinct stamps tell which heartbeat was read back.
    m_lastStamp = std::max(m_lastStamp + base::milliseconds(1), base::clock::wallNow());
    m_sentHeartbeats.emplace_back(m_lastStamp, now);
    m_sink.append(state::heartbeat_entry{m_self, m_life, m_state.folded(), m_commandsOutstanding(), m_lastStamp});
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

void lease_manager::decide(const base::lease_name &name, const std::vector<base::node_id> &candidates, std::vector<state::entry> &takes)
{
    if (m_pendingTakes.contains(name)) {
        return;
    }
    const state::lease_view *lease = find(name);
    if (lease && lease->holder == m_self && lease->life == m_life) {
        m_freeSince.erase(name);
        decideOnOwn(name, membership::intendedHolder(name, candidates), takes);
        return;
    }
    const std::optional<base::milliseconds> free = freeFor(name, lease);
    if (!free) {
        m_freeSince.erase(name);
        return;
    }
    if (canHold() && *free >= takeDelay(name, candidates)) {
        take(name, lease && !lease->holder.empty() ? "its holder's term is over" : "nobody holds it", takes);
    }
}

void lease_manager::decideOnOwn(const base::lease_name &name, const base::node_id &intended, std::vector<state::entry> &takes)
{
    const base::time_point now = base::clock::now();
    holding &own = m_holdings.at(name);
    if (own.givenUpAt) {
        // The hand-over may have been lost. Taking it again ends the doubt: only one of the two entries can take effect.
        if (now - *own.givenUpAt >= m_times.appendPatience && canHold()) {
            take(name, "its hand-over was not read back", takes);
        }
        return;
    }
    if (!canHold()) {
        return;
    }
    if (own.since <= m_lapsedAt) {
        take(name, "the term ended in between", takes);
        return;
    }
    const base::incarnation life = m_watch.freshLife(intended, now - m_times.term);
    const bool mayHandOver = !m_handedOverAt || now - *m_handedOverAt >= m_times.handOverInterval;
    if (intended != m_self && !intended.empty() && life != base::incarnation(0) && mayHandOver) {
        own.givenUpAt = now;
        m_handedOverAt = now;
        LOG4CXX_INFO(logger, "Hands " << name << " over to " << intended << ", its intended holder.");
        m_sink.append(state::lease_entry{name, own.token, state::lease_action::handOver, intended, life});
    }
}

std::optional<base::milliseconds> lease_manager::freeFor(const base::lease_name &name, const state::lease_view *lease) const
{
    const base::time_point now = base::clock::now();
    const bool ended = lease && m_state.hasEnded(lease->holder, lease->life);
    if (!lease || lease->holder.empty() || ended) {
        return now - m_freeSince.try_emplace(name, now).first->second;
    }
    // Only what was read up to the head counts: a heartbeat that is already in the log must be seen before the lease is called expired.
    const base::time_point expiry = m_watch.lastSign(name, *lease) + m_times.term + m_times.margin;
    return m_progress.caughtUpAt() >= expiry ? std::optional(std::chrono::duration_cast<base::milliseconds>(now - expiry)) : std::nullopt;
}

base::milliseconds lease_manager::takeDelay(const base::lease_name &name, const std::vector<base::node_id> &candidates) const
{
    const std::uint64_t own = membership::rendezvousWeight(name.value(), m_self.value());
    const auto isBefore = [&](const base::node_id &other) {
        return membership::rendezvousWeight(name.value(), other.value()) > own;
    };
    const auto rank = std::count_if(candidates.begin(), candidates.end(), isBefore);
    const bool isCandidate = std::find(candidates.begin(), candidates.end(), m_self) != candidates.end();
    return isCandidate ? m_times.fallbackDelay * rank : base::milliseconds::max();
}

void lease_manager::take(const base::lease_name &name, const char *why, std::vector<state::entry> &takes)
{
    const state::lease_view *lease = find(name);
    LOG4CXX_INFO(logger, "Takes " << name << ": " << why << '.');
    m_pendingTakes[name] = base::clock::now();
    takes.emplace_back(state::lease_entry{name, lease ? lease->token : base::log_offset(0), state::lease_action::take, m_self, m_life});
}

bool lease_manager::canHold() const
{
    // A lease that is given in the moment of a lapse cannot be told from one that was given before it.
    return base::clock::now() < m_termEnd && base::clock::now() > m_lapsedAt && !m_stopping;
}

bool lease_manager::holds(const base::lease_name &name) const
{
    const auto own = m_holdings.find(name);
    return own != m_holdings.end() && isHolderInFold(name) && token(name) == own->second.token && !own->second.givenUpAt && own->second.since > m_lapsedAt
        && base::clock::now() < m_termEnd;
}

bool lease_manager::isHolderInFold(const base::lease_name &name) const
{
    const state::lease_view *lease = find(name);
    return lease && lease->holder == m_self && lease->life == m_life;
}

bool lease_manager::mayDrive(const base::lease_name &name) const
{
    const auto own = m_holdings.find(name);
    return own != m_holdings.end() && isHolderInFold(name) && token(name) == own->second.token && !own->second.givenUpAt;
}

base::log_offset lease_manager::token(const base::lease_name &name) const
{
    const state::lease_view *lease = find(name);
    return lease ? lease->token : base::log_offset(0);
}

std::optional<base::time_point> lease_manager::heldSince(const base::lease_name &name) const
{
    return holds(name) ? std::optional(m_holdings.at(name).since) : std::nullopt;
}

void lease_manager::renewToken(const base::lease_name &name)
{
    if (holds(name) && !m_pendingTakes.contains(name)) {
        std::vector<state::entry> takes;
        take(name, "a greater fencing token is needed", takes);
        m_sink.append(std::move(takes.front()));
    }
}

void lease_manager::stop()
{
    m_stopping = true;
    const base::time_point now = base::clock::now();
    std::vector<base::node_id> others;
    for (const auto &[node, heartbeat] : m_state.heartbeats()) {
        if (node != m_self && m_watch.freshLife(node, now - m_times.term) != base::incarnation(0)) {
            others.push_back(node);
        }
    }
    others = membership::holderCandidates(std::move(others));
    std::vector<state::entry> entries;
    for (auto &[name, own] : m_holdings) {
        if (holds(name)) {
            const base::node_id next = membership::intendedHolder(name, others);
            const state::lease_action action = next.empty() ? state::lease_action::release : state::lease_action::handOver;
            entries.emplace_back(state::lease_entry{name, own.token, action, next, m_watch.freshLife(next, now - m_times.term)});
            own.givenUpAt = now;
        }
    }
    LOG4CXX_INFO(logger, "Hands over " << entries.size() << " leases before the stop.");
    if (!entries.empty()) {
        m_sink.appendTogether(std::move(entries));
    }
}

} // namespace chervilbend::control
