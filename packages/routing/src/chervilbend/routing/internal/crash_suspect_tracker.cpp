#include <chervilbend/routing/internal/crash_suspect_tracker.hpp>

#include <algorithm>
#include <chrono>

namespace chervilbend::routing
{

namespace
{

/// Time within which all nodes notice the loss of their connections to a crashed engine.
constexpr base::milliseconds sameCrashWindow{500};
/// Suspects whose last updates differ by at most this run at about the same time.
constexpr base::milliseconds sameRoundWindow{5000};

} // namespace

crash_suspect_tracker::crash_suspect_tracker(const director_settings &settings)
    : m_settings(settings)
{
}

void crash_suspect_tracker::recordConnectionLoss(std::uint64_t endpoint, std::uint64_t fingerprint, base::time_point now)
{
    loss_event &event = m_events.try_emplace(endpoint, loss_event{now, {}}).first->second;
    if (!m_settings.isolateSuspects) {
        return;
    }
    if (std::find(event.fingerprints.begin(), event.fingerprints.end(), fingerprint) != event.fingerprints.end()) {
        return;
    }
    event.fingerprints.push_back(fingerprint);
    entry &suspect = m_entries[fingerprint];
    // A remote update well before this loss refers to another crash. One at about the same time may be of the same crash, seen by another
    // node.
    if (suspect.remoteCrashes > suspect.confirmedCrashes && now - suspect.lastUpdate >= sameCrashWindow) {
        suspect.confirmedCrashes = suspect.remoteCrashes;
    }
    ++suspect.unconfirmedCrashes;
    suspect.cleared = false;
    suspect.lastUpdate = now;
}

void crash_suspect_tracker::confirmCrash(std::uint64_t endpoint)
{
    const auto found = m_events.find(endpoint);
    if (found == m_events.end()) {
        return;
    }
    for (const std::uint64_t fingerprint : found->second.fingerprints) {
        const auto suspect = m_entries.find(fingerprint);
        if (suspect != m_entries.end() && suspect->second.unconfirmedCrashes > 0) {
            --suspect->second.unconfirmedCrashes;
            ++suspect->second.confirmedCrashes;
        }
    }
    m_events.erase(found);
}

void crash_suspect_tracker::dismissCrash(std::uint64_t endpoint)
{
    const auto found = m_events.find(endpoint);
    if (found == m_events.end()) {
        return;
    }
    const std::vector<std::uint64_t> fingerprints = std::move(found->second.fingerprints);
    m_events.erase(found);
    for (const std::uint64_t fingerprint : fingerprints) {
        const auto suspect = m_entries.find(fingerprint);
        if (suspect != m_entries.end() && suspect->second.unconfirmedCrashes > 0) {
            --suspect->second.unconfirmedCrashes;
            dropIfEmpty(fingerprint);
        }
    }
}

void crash_suspect_tracker::dropIfEmpty(std::uint64_t fingerprint)
{
    const entry &suspect = m_entries.at(fingerprint);
    if (suspect.confirmedCrashes + suspect.unconfirmedCrashes + suspect.remoteCrashes == 0 && !suspect.cleared) {
        m_entries.erase(fingerprint);
    }
}

void crash_suspect_tracker::clear(std::uint64_t fingerprint)
{
    // A request that is refused stays refused: one successful answer does not outweigh the crashes.
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && !isRefused(fingerprint)) {
        found->second.cleared = true;
        found->second.confirmedCrashes = found->second.unconfirmedCrashes = 0;
    }
}

void crash_suspect_tracker::mergeRemote(std::uint64_t fingerprint, int crashes, base::time_point now)
{
    if (crashes <= 0) {
        return;
    }
    entry &suspect = m_entries[fingerprint];
    if (crashes > suspect.remoteCrashes) {
        suspect.remoteCrashes = crashes;
        suspect.cleared = false;
        suspect.lastUpdate = now;
    }
}

void crash_suspect_tracker::expire(base::time_point now)
{
    for (auto event = m_events.begin(); event != m_events.end();) {
        const std::uint64_t endpoint = event->first;
        const bool isExpired = now - event->second.time > m_settings.crashConfirmationTimeout;
        ++event;
        if (isExpired) {
            dismissCrash(endpoint);
        }
    }
    std::erase_if(m_entries, [&](const auto &listed) { return now - listed.second.lastUpdate > m_settings.suspicionLifetime; });
}

bool crash_suspect_tracker::isRefused(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return false;
    }
    const entry &suspect = found->second;
    // Local and remote counts may refer to the same crash, so the larger one is used instead of the sum.
    return std::max(suspect.confirmedCrashes + suspect.unconfirmedCrashes, suspect.remoteCrashes) >= m_settings.crashesToRefuse;
}

base::time_point crash_suspect_tracker::holdUntil(std::uint64_t fingerprint, base::time_point submitted) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? base::time_point{} : std::max(submitted, found->second.lastUpdate) + m_settings.suspectHoldTime;
}

std::size_t crash_suspect_tracker::rankOf(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), found, [&](const auto &other) { return std::chrono::abs(other.second.lastUpdate - found->second.lastUpdate) <= sameRoundWindow; }));
}

bool crash_suspect_tracker::isSuspect(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && !found->second.cleared;
}

std::vector<std::pair<std::uint64_t, int>> crash_suspect_tracker::localCrashCounts() const
{
    std::vector<std::pair<std::uint64_t, int>> all;
    for (const auto &[fingerprint, suspect] : m_entries) {
        const int ownCrashes = std::max(suspect.confirmedCrashes, std::min(1, suspect.confirmedCrashes + suspect.unconfirmedCrashes));
        if (ownCrashes > 0) {
            all.emplace_back(fingerprint, ownCrashes);
        }
    }
    return all;
}

} // namespace chervilbend::routing
