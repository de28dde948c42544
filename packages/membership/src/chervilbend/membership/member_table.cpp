#include <chervilbend/membership/member_table.hpp>

#include <chervilbend/base/log.hpp>

#include <algorithm>
#include <bit>

namespace chervilbend::membership
{

namespace
{

const char *toString(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        break;
    }
    return "dead";
}

} // namespace

member_table::member_table(member self, member_table_settings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
    , m_crashSuspicions(settings.crashSuspicionRetention, settings.maxCrashSuspicions)
{
}

void member_table::setListedMembers(const std::vector<member> &listed)
{
    for (auto &[id, entry] : m_records) {
        entry.listed = false;
        entry.listedDraining = false;
    }
    for (const member &node : listed) {
        if (node.id == m_self.id) {
            continue;
        }
        const auto [found, added] = m_records.try_emplace(node.id);
        record &entry = found->second;
        if (added) {
            entry.known = node;
            entry.known.state = member_state::alive;
            entry.known.draining = false;
            entry.stateSince = base::clock::now();
        } else if (entry.known.state == member_state::dead || !entry.lastContactAt) {
            // A host may be replaced by one with the same id. An address that the member has announced itself takes precedence.
            entry.known.address = node.address;
            entry.known.zone = node.zone;
        }
        entry.listed = true;
        entry.listedDraining = node.draining;
    }
}

std::optional<member> member_table::nextProbe()
{
    if (++m_probeCount % m_settings.probesPerDeadProbe == 0) {
        if (std::optional<member> dead = nextDeadMember()) {
            return dead;
        }
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_probeQueue.empty()) {
            const base::node_id id = m_probeQueue.back();
            m_probeQueue.pop_back();
            const auto found = m_records.find(id);
            if (found != m_records.end() && found->second.known.state != member_state::dead) {
                return found->second.known;
            }
        }
        refillProbeQueue();
    }
    return nextDeadMember();
}

std::optional<member> member_table::nextDeadMember()
{
    std::vector<const member *> dead;
    for (const auto &[id, entry] : m_records) {
        if (entry.known.state == member_state::dead && entry.listed) {
            dead.push_back(&entry.known);
        }
    }
    if (dead.empty()) {
        return std::nullopt;
    }
    return *dead[m_random() % dead.size()];
}

void member_table::refillProbeQueue()
{
    for (const auto &[id, entry] : m_records) {
        m_probeQueue.push_back(id);
    }
    std::shuffle(m_probeQueue.begin(), m_probeQueue.end(), m_random);
}

std::vector<member> member_table::relaysFor(const base::node_id &target, std::size_t count)
{
    std::vector<member> relays;
    for (const auto &[id, entry] : m_records) {
        if (id != target && entry.known.state == member_state::alive) {
            relays.push_back(entry.known);
        }
    }
    std::shuffle(relays.begin(), relays.end(), m_random);
    relays.resize(std::min(relays.size(), count));
    return relays;
}

void member_table::probeFailed(const base::node_id &target)
{
    const auto found = m_records.find(target);
    if (found == m_records.end() || found->second.known.state != member_state::alive) {
        return;
    }
    member update = found->second.known;
    update.state = member_state::suspect;
    found->second.lastContactAt.reset();
    updateRecord(found->second, update);
}

void member_table::receive(const gossip &message, bool direct)
{
    apply(message.sender, direct);
    const std::size_t bound = m_settings.updatesPerMessage;
    for (std::size_t i = 0; i < std::min(bound, message.updates.size()); ++i) {
        apply(message.updates[i], false);
    }
    for (std::size_t i = 0; i < std::min(bound, message.crashSuspicions.size()); ++i) {
        m_crashSuspicions.merge(message.crashSuspicions[i], transmissions());
    }
}

void member_table::apply(const member &update, bool fromItself)
{
    if (update.id.empty()) {
        return;
    }
    if (update.id == m_self.id) {
        refute(update);
        return;
    }
    const auto [found, added] = m_records.try_emplace(update.id);
    record &entry = found->second;
    if (added) {
        entry.known = update;
        entry.stateSince = base::clock::now();
        entry.transmissionsLeft = transmissions();
    }
    if (fromItself) {
        entry.lastContactAt = base::clock::now();
    }
    const bool contactedRecently = entry.lastContactAt && base::clock::now() - *entry.lastContactAt < m_settings.directContactValidity;
    const bool sameVersion = update.incarnation == entry.known.incarnation && update.revision == entry.known.revision;
    if (sameVersion && update.state != member_state::alive && contactedRecently) {
        // Direct contact takes precedence over reports of others: the member has just answered.
        return;
    }
    const bool clearedByAnswer = fromItself && sameVersion && entry.known.state == member_state::suspect;
    if (supersedes(update, entry.known) || clearedByAnswer) {
        updateRecord(entry, update);
    }
}

void member_table::refute(const member &claim)
{
    const bool isCurrent = claim.incarnation == m_self.incarnation && claim.revision >= m_self.revision;
    if (isCurrent && claim.state != member_state::alive) {
        m_self.revision = claim.revision + 1;
    }
}

void member_table::updateRecord(record &entry, const member &update)
{
    const member_state previous = entry.known.state;
    const base::time_point now = base::clock::now();
    if (previous == member_state::dead && update.state == member_state::alive) {
        const bool recent = entry.rejoins > 0 && now - entry.rejoinedAt < m_settings.rejoinRetention;
        entry.rejoins = recent ? entry.rejoins + 1 : 1;
        entry.rejoinedAt = now;
    }
    entry.known = update;
    entry.transmissionsLeft = transmissions();
    if (previous != update.state) {
        entry.stateSince = now;
        ++m_stateChanges;
        LOG4CXX_INFO(base::partLogger("peer"), "Member " << update.id << " is " << toString(update.state) << ", was " << toString(previous) << '.');
    }
}

gossip member_table::takeGossip(const base::node_id &receiver)
{
    gossip message;
    message.sender = m_self;
    const auto found = m_records.find(receiver);
    if (found != m_records.end() && found->second.known.state != member_state::alive) {
        message.updates.push_back(found->second.known);
    }
    std::vector<record *> pending;
    for (auto &[id, entry] : m_records) {
        if (entry.transmissionsLeft > 0 && id != receiver) {
            pending.push_back(&entry);
        }
    }
    // Least often sent updates go first, so that new updates spread before old ones are repeated.
    const std::size_t count = std::min(pending.size(), m_settings.updatesPerMessage - message.updates.size());
    const auto lessOftenSent = [](const record *left, const record *right) {
        return left->transmissionsLeft > right->transmissionsLeft;
    };
    std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(), lessOftenSent);
    for (std::size_t i = 0; i < count; ++i) {
        --pending[i]->transmissionsLeft;
        message.updates.push_back(pending[i]->known);
    }
    message.crashSuspicions = m_crashSuspicions.takeForSending(m_settings.updatesPerMessage);
    return message;
}

void member_table::announceLeaving()
{
    m_self.draining = true;
    ++m_self.revision;
}

void member_table::addCrashSuspicion(const crash_suspicion &suspicion)
{
    m_crashSuspicions.merge(suspicion, transmissions());
}

void member_table::advance()
{
    const base::time_point now = base::clock::now();
    for (auto &[id, entry] : m_records) {
        if (entry.known.state == member_state::suspect && now - entry.stateSince >= suspicionTimeout()) {
            member update = entry.known;
            update.state = member_state::dead;
            updateRecord(entry, update);
        }
    }
    std::erase_if(m_records, [&](const auto &element) {
        const record &entry = element.second;
        return entry.known.state == member_state::dead && !entry.listed && now - entry.stateSince >= m_settings.deadRetention;
    });
}

const member *member_table::find(const base::node_id &id) const
{
    if (id == m_self.id) {
        return &m_self;
    }
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second.known;
}

std::vector<member> member_table::live() const
{
    std::vector<member> members{m_self};
    for (const auto &[id, entry] : m_records) {
        if (entry.known.state != member_state::dead) {
            members.push_back(entry.known);
        }
    }
    return members;
}

std::vector<base::node_id> member_table::eligibleHolders() const
{
    std::vector<base::node_id> holders;
    if (!m_self.draining) {
        holders.push_back(m_self.id);
    }
    for (const auto &[id, entry] : m_records) {
        const bool inRejoinDelay = entry.rejoins > 0 && base::clock::now() - entry.rejoinedAt < rejoinDelay(entry.rejoins);
        const bool draining = entry.known.draining || entry.listedDraining;
        if (entry.known.state != member_state::dead && !draining && !inRejoinDelay) {
            holders.push_back(id);
        }
    }
    return holders;
}

int member_table::transmissions() const
{
    // Three times the logarithm of the group size reaches all members with high probability (SWIM paper, section 4.1).
    return 3 * static_cast<int>(std::bit_width(m_records.size() + 1));
}

base::milliseconds member_table::suspicionTimeout() const
{
    return m_settings.suspicionTimeout + m_settings.suspicionPerDoubling * static_cast<int>(std::bit_width(m_records.size() + 1));
}

base::milliseconds member_table::rejoinDelay(int rejoins) const
{
    constexpr int maxDoublings = 10;
    return std::min(m_settings.maxRejoinDelay, m_settings.rejoinDelay * (std::int64_t(1) << std::min(rejoins - 1, maxDoublings)));
}

} // namespace chervilbend::membership
