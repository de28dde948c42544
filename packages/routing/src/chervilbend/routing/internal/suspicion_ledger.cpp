#include <chervilbend/routing/internal/suspicion_ledger.hpp>

#include <algorithm>
#include <chrono>

namespace chervilbend::routing
{

namespace
{

/// Nodes see the end of one engine's connections within this time.
constexpr base::milliseconds sameCrash{500};
/// Suspects whose news differ by less run at about the same time.
constexpr base::milliseconds sameWave{5000};

} // namespace

suspicion_ledger::suspicion_ledger(const director_settings &settings)
    : m_settings(settings)
{
}

void suspicion_ledger::noteLoss(std::uint64_t endpoint, std::uint64_t fingerprint, base::time_point now)
{
    loss_event &event = m_events.try_emplace(endpoint, loss_event{now, {}}).first->second;
    if (std::find(event.fingerprints.begin(), event.fingerprints.end(), fingerprint) != event.fingerprints.end()) {
        return;
    }
    event.fingerprints.push_back(fingerprint);
    entry &suspect = m_entries[fingerprint];
    // News that came well before this loss is of another crash; news at the same time may be of this one, seen by another node.
    if (suspect.learned > suspect.confirmed && now - suspect.lastNews >= sameCrash) {
        suspect.confirmed = suspect.learned;
    }
    ++suspect.unconfirmed;
    suspect.cleared = false;
    suspect.lastNews = now;
}

void suspicion_ledger::confirmCrash(std::uint64_t endpoint)
{
    const auto found = m_events.find(endpoint);
    if (found == m_events.end()) {
        return;
    }
    for (const std::uint64_t fingerprint : found->second.fingerprints) {
        const auto suspect = m_entries.find(fingerprint);
        if (suspect != m_entries.end() && suspect->second.unconfirmed > 0) {
            --suspect->second.unconfirmed;
            ++suspect->second.confirmed;
        }
    }
    m_events.erase(found);
}

void suspicion_ledger::dismissCrash(std::uint64_t endpoint)
{
    const auto found = m_events.find(endpoint);
    if (found == m_events.end()) {
        return;
    }
    const std::vector<std::uint64_t> fingerprints = std::move(found->second.fingerprints);
    m_events.erase(found);
    for (const std::uint64_t fingerprint : fingerprints) {
        const auto suspect = m_entries.find(fingerprint);
        if (suspect != m_entries.end() && suspect->second.unconfirmed > 0) {
            --suspect->second.unconfirmed;
            dropIfEmpty(fingerprint);
        }
    }
}

void suspicion_ledger::dropIfEmpty(std::uint64_t fingerprint)
{
    const entry &suspect = m_entries.at(fingerprint);
    if (suspect.confirmed + suspect.unconfirmed + suspect.learned == 0 && !suspect.cleared) {
        m_entries.erase(fingerprint);
    }
}

void suspicion_ledger::clear(std::uint64_t fingerprint)
{
    // What other nodes refuse stays refused: one lucky answer does not outweigh two crashes.
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && !isRefused(fingerprint)) {
        found->second.cleared = true;
        found->second.confirmed = found->second.unconfirmed = 0;
    }
}

void suspicion_ledger::learn(std::uint64_t fingerprint, int crashes, base::time_point now)
{
    if (crashes <= 0) {
        return;
    }
    entry &suspect = m_entries[fingerprint];
    if (crashes > suspect.learned) {
        suspect.learned = crashes;
        suspect.cleared = false;
        suspect.lastNews = now;
    }
}

void suspicion_ledger::expire(base::time_point now)
{
    for (auto event = m_events.begin(); event != m_events.end();) {
        const std::uint64_t endpoint = event->first;
        const bool old = now - event->second.when > m_settings.crashConfirmation;
        ++event;
        if (old) {
            dismissCrash(endpoint);
        }
    }
    std::erase_if(m_entries, [&](const auto &known) { return now - known.second.lastNews > m_settings.suspicionLife; });
}

bool suspicion_ledger::isRefused(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return false;
    }
    const entry &suspect = found->second;
    // Own and learned counts may be of the same crash, so the larger one counts.
    return std::max(suspect.confirmed + suspect.unconfirmed, suspect.learned) >= m_settings.crashesToRefuse;
}

base::time_point suspicion_ledger::holdUntil(std::uint64_t fingerprint, base::time_point submitted) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? base::time_point{} : std::max(submitted, found->second.lastNews) + m_settings.suspectHold;
}

std::size_t suspicion_ledger::rankOf(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), found, [&](const auto &other) { return std::chrono::abs(other.second.lastNews - found->second.lastNews) <= sameWave; }));
}

bool suspicion_ledger::isSuspect(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && !found->second.cleared;
}

std::vector<std::pair<std::uint64_t, int>> suspicion_ledger::list() const
{
    std::vector<std::pair<std::uint64_t, int>> all;
    for (const auto &[fingerprint, suspect] : m_entries) {
        const int own = std::max(suspect.confirmed, std::min(1, suspect.confirmed + suspect.unconfirmed));
        if (own > 0) {
            all.emplace_back(fingerprint, own);
        }
    }
    return all;
}

} // namespace chervilbend::routing
