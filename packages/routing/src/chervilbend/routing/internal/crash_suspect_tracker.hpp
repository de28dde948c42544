#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chervilbend::routing
{

/// Tracks which requests may have crashed endpoints, by fingerprint.
///
/// A lost connection makes its request a suspect immediately, since a crash is confirmed only seconds later. The loss counts as a crash
/// once the endpoint refuses connections, has a new incarnation or is removed. It is dismissed when the old incarnation reports again.
///
/// Requests are suspected only where director_settings::isolateSuspects is set: only a suspect that runs alone can be cleared by its answer. Elsewhere the
/// tracker knows the endpoints with a lost connection, and prompt_part_tracker decides which requests are refused.
class crash_suspect_tracker
{
public:
    explicit crash_suspect_tracker(const director_settings &settings);

    /// Commands.

    /// Records that a connection was lost. All losses at one endpoint until the crash is confirmed or dismissed are one event, so that each
    /// request is counted at most once per crash.
    void recordConnectionLoss(std::uint64_t endpoint, std::uint64_t fingerprint, base::time_point now);
    /// The endpoint was found to have restarted, to refuse connections or to be gone.
    void confirmCrash(std::uint64_t endpoint);
    /// The endpoint was still alive after the loss.
    void dismissCrash(std::uint64_t endpoint);
    /// Clears a suspect that was answered and thus did not cause the crash.
    void clear(std::uint64_t fingerprint);
    /// Merges the number of crashes that another node attributes to the request.
    void mergeRemote(std::uint64_t fingerprint, int crashes, base::time_point now);
    /// Dismisses losses that were not confirmed in time and removes expired suspicions.
    void expire(base::time_point now);

    /// Queries.

    bool isSuspect(std::uint64_t fingerprint) const;
    bool isRefused(std::uint64_t fingerprint) const;
    /// Earliest time at which a suspect that was submitted at @p submitted may run: when earlier crashes are known to all nodes.
    base::time_point holdUntil(std::uint64_t fingerprint, base::time_point submitted) const;
    /// Rank of the request among the suspects of about the same time. After the hold time, all nodes know about the same suspects, so that
    /// each node can isolate its suspects from those of the others.
    std::size_t rankOf(std::uint64_t fingerprint) const;
    /// Whether a lost connection at the endpoint is neither confirmed nor dismissed as a crash.
    bool hasUnconfirmedLoss(std::uint64_t endpoint) const
    {
        return m_events.contains(endpoint);
    }
    /// Time of the first lost connection; only valid while hasUnconfirmedLoss().
    base::time_point lossTime(std::uint64_t endpoint) const
    {
        return m_events.at(endpoint).time;
    }
    /// Fingerprints and numbers of crashes observed by this node, to be sent to the others. Unconfirmed losses count as at most one, since
    /// the other nodes are not told when a loss is dismissed.
    std::vector<std::pair<std::uint64_t, int>> localCrashCounts() const;

private:
    struct entry {
        int confirmedCrashes = 0;
        int unconfirmedCrashes = 0;
        int remoteCrashes = 0;
        /// The request has been answered since. It is kept because other nodes still include it in their ranks.
        bool cleared = false;
        base::time_point lastUpdate;
    };
    struct loss_event {
        base::time_point time;
        std::vector<std::uint64_t> fingerprints;
    };

    void dropIfEmpty(std::uint64_t fingerprint);

    const director_settings &m_settings;
    std::map<std::uint64_t, entry> m_entries;
    std::map<std::uint64_t, loss_event> m_events;
};

} // namespace chervilbend::routing
