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
    , m_crashSuspicions(settings.suspicionMemory, settings.maxSuspicions)
{
}

void member_table::setListedMembers(const std::vector<member> &listed)
{
    for (auto &[id, entry] : m_records) {
        entry.listed = false;
        entry.listedLeaving = false;
    }
    for (const member &line : listed) {
        if (line.id == m_self.id) {
            continue;
        }
        const auto [place, added] = m_records.try_emplace(line.id);
        record &entry = place->second;
        if (added) {
            entry.known = line;
            entry.known.state = member_state::alive;
            entry.known.leaving = false;
            entry.stateSince = base::clock::now();
        } else if (entry.known.state == member_state::dead || !entry.heardAt) {
            // A host may be replaced by one with the same id; the member's own word on its address goes first.
            entry.known.address = line.address;
            entry.known.zone = line.zone;
        }
        entry.listed = true;
        entry.listedLeaving = line.leaving;
    }
}

std::optional<member> member_table::nextProbe()
{
    if (++m_probes % m_settings.probesPerDeadProbe == 0) {
        if (std::optional<member> dead = nextDead()) {
            return dead;
        }
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_round.empty()) {
            const base::node_id id = m_round.back();
            m_round.pop_back();
            const auto place = m_records.find(id);
            if (place != m_records.end() && place->second.known.state != member_state::dead) {
                return place->second.known;
            }
        }
        shuffleRound();
    }
    return nextDead();
}

std::optional<member> member_table::nextDead()
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

void member_table::shuffleRound()
{
    for (const auto &[id, entry] : m_records) {
        m_round.push_back(id);
    }
    std::shuffle(m_round.begin(), m_round.end(), m_random);
}

std::vector<member> member_table::relaysFor(const base::node_id &target, std::size_t count)
{
    std::vector<member> helpers;
    for (const auto &[id, entry] : m_records) {
        if (id != target && entry.known.state == member_state::alive) {
            helpers.push_back(entry.known);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), count));
    return helpers;
}

void member_table::probeFailed(const base::node_id &target)
{
    const auto place = m_records.find(target);
    if (place == m_records.end() || place->second.known.state != member_state::alive) {
        return;
    }
    member update = place->second.known;
    update.state = member_state::suspect;
    place->second.heardAt.reset();
    change(place->second, update);
}

void member_table::receive(const gossip &message, bool direct)
{
    apply(message.sender, direct);
    const std::size_t bound = m_settings.updatesPerMessage;
    for (std::size_t i = 0; i < std::min(bound, message.updates.size()); ++i) {
        apply(message.updates[i], false);
    }
    for (std::size_t i = 0; i < std::min(bound, message.crashSuspicions.size()); ++i) {
        m_crashSuspicions.learn(message.crashSuspicions[i], transmissions());
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
    const auto [place, added] = m_records.try_emplace(update.id);
    record &entry = place->second;
    if (added) {
        entry.known = update;
        entry.stateSince = base::clock::now();
        entry.transmissionsLeft = transmissions();
    }
    if (fromItself) {
        entry.heardAt = base::clock::now();
    }
    const bool heardLately = entry.heardAt && base::clock::now() - *entry.heardAt < m_settings.evidenceLife;
    const bool sameWord = update.incarnation == entry.known.incarnation && update.revision == entry.known.revision;
    if (sameWord && update.state != member_state::alive && heardLately) {
        // Own probing goes first: the member has just answered.
        return;
    }
    const bool clearedByAnswer = fromItself && sameWord && entry.known.state == member_state::suspect;
    if (supersedes(update, entry.known) || clearedByAnswer) {
        change(entry, update);
    }
}

void member_table::refute(const member &claim)
{
    const bool aboutThisWord = claim.incarnation == m_self.incarnation && claim.revision >= m_self.revision;
    if (aboutThisWord && claim.state != member_state::alive) {
        m_self.revision = claim.revision + 1;
    }
}

void member_table::change(record &entry, const member &update)
{
    const member_state before = entry.known.state;
    const base::time_point now = base::clock::now();
    if (before == member_state::dead && update.state == member_state::alive) {
        const bool recent = entry.returns > 0 && now - entry.returnedAt < m_settings.returnMemory;
        entry.returns = recent ? entry.returns + 1 : 1;
        entry.returnedAt = now;
    }
    entry.known = update;
    entry.transmissionsLeft = transmissions();
    if (before != update.state) {
        entry.stateSince = now;
        ++m_stateChanges;
        LOG4CXX_INFO(base::partLogger("peer"), "Member " << update.id << " is " << toString(update.state) << ", was " << toString(before) << '.');
    }
}

gossip member_table::takeGossip(const base::node_id &receiver)
{
    gossip message;
    message.sender = m_self;
    const auto place = m_records.find(receiver);
    if (place != m_records.end() && place->second.known.state != member_state::alive) {
        message.updates.push_back(place->second.known);
    }
    std::vector<record *> waiting;
    for (auto &[id, entry] : m_records) {
        if (entry.transmissionsLeft > 0 && id != receiver) {
            waiting.push_back(&entry);
        }
    }
    // Least often sent first, so that new changes spread before old ones repeat.
    const std::size_t count = std::min(waiting.size(), m_settings.updatesPerMessage - message.updates.size());
    const auto lessSent = [](const record *left, const record *right) {
        return left->transmissionsLeft > right->transmissionsLeft;
    };
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count), waiting.end(), lessSent);
    for (std::size_t i = 0; i < count; ++i) {
        --waiting[i]->transmissionsLeft;
        message.updates.push_back(waiting[i]->known);
    }
    message.crashSuspicions = m_crashSuspicions.take(m_settings.updatesPerMessage);
    return message;
}

void member_table::announceLeaving()
{
    m_self.leaving = true;
    ++m_self.revision;
}

void member_table::addCrashSuspicion(const crash_suspicion &suspicion)
{
    m_crashSuspicions.learn(suspicion, transmissions());
}

void member_table::advance()
{
    const base::time_point now = base::clock::now();
    for (auto &[id, entry] : m_records) {
        if (entry.known.state == member_state::suspect && now - entry.stateSince >= suspicionTimeout()) {
            member update = entry.known;
            update.state = member_state::dead;
            change(entry, update);
        }
    }
    std::erase_if(m_records, [&](const auto &place) {
        const record &entry = place.second;
        return entry.known.state == member_state::dead && !entry.listed && now - entry.stateSince >= m_settings.deadMemory;
    });
}

const member *member_table::find(const base::node_id &id) const
{
    if (id == m_self.id) {
        return &m_self;
    }
    const auto place = m_records.find(id);
    return place == m_records.end() ? nullptr : &place->second.known;
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
    if (!m_self.leaving) {
        holders.push_back(m_self.id);
    }
    for (const auto &[id, entry] : m_records) {
        const bool justBack = entry.returns > 0 && base::clock::now() - entry.returnedAt < returnDelay(entry.returns);
        const bool leaving = entry.known.leaving || entry.listedLeaving;
        if (entry.known.state != member_state::dead && !leaving && !justBack) {
            holders.push_back(id);
        }
    }
    return holders;
}

int member_table::transmissions() const
{
    // Three times the logarithm reaches all members with high probability (section 4.1 of the SWIM paper).
    return 3 * static_cast<int>(std::bit_width(m_records.size() + 1));
}

base::milliseconds member_table::suspicionTimeout() const
{
    return m_settings.suspicionTimeout + m_settings.suspicionPerDoubling * static_cast<int>(std::bit_width(m_records.size() + 1));
}

base::milliseconds member_table::returnDelay(int returns) const
{
    constexpr int maxDoublings = 10;
    return std::min(m_settings.maxReturnDelay, m_settings.returnDelay * (std::int64_t(1) << std::min(returns - 1, maxDoublings)));
}

} // namespace chervilbend::membership
