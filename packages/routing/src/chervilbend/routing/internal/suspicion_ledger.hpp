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

/// Which requests may have crashed endpoints, by fingerprint.
///
/// A broken connection raises suspicion at once, since a crash is confirmed only seconds later. It counts as a crash once the endpoint
/// refuses connections, has a new life or is gone, and is withdrawn when the endpoint's old life reports again.
class suspicion_ledger
{
public:
    explicit suspicion_ledger(const director_settings &settings);

    /// Commands.

    /// Requests that one crash breaks share one count: the losses at one endpoint until it is judged are one event.
    void noteLoss(std::uint64_t endpoint, std::uint64_t fingerprint, base::time_point now);
    /// The endpoint was found restarted or gone.
    void confirmCrash(std::uint64_t endpoint);
    /// The endpoint was still alive after the loss.
    void dismissCrash(std::uint64_t endpoint);
    /// A suspect was answered: it did not cause the crash.
    void clear(std::uint64_t fingerprint);
    void learn(std::uint64_t fingerprint, int crashes, base::time_point now);
    /// Forgets what is too old.
    void expire(base::time_point now);

    /// Queries.

    bool isSuspect(std::uint64_t fingerprint) const;
    bool isRefused(std::uint64_t fingerprint) const;
    /// When a suspect that was submitted at @p submitted may run: after the news of any crash before that has spread.
    base::time_point holdUntil(std::uint64_t fingerprint, base::time_point submitted) const;
    /// Its place among the suspects of about the same time. After the hold, all nodes know about the same suspects, so that each node
    /// can keep its own apart from those of the others.
    std::size_t rankOf(std::uint64_t fingerprint) const;
    /// Whether a loss at the endpoint waits to be confirmed.
    bool isUnjudged(std::uint64_t endpoint) const
    {
        return m_events.contains(endpoint);
    }
    /// When the loss was seen; only while it is unjudged.
    base::time_point lossTime(std::uint64_t endpoint) const
    {
        return m_events.at(endpoint).when;
    }
    /// Fingerprints and crashes for the other nodes. Losses that are not confirmed count as at most one: other nodes have no way to
    /// learn that they were withdrawn.
    std::vector<std::pair<std::uint64_t, int>> list() const;

private:
    struct entry {
        int confirmed = 0;
        int unconfirmed = 0;
        int learned = 0;
        /// It was answered since; kept because other nodes still count it in their ranks.
        bool cleared = false;
        base::time_point lastNews;
    };
    struct loss_event {
        base::time_point when;
        std::vector<std::uint64_t> fingerprints;
    };

    void dropIfEmpty(std::uint64_t fingerprint);

    const director_settings &m_settings;
    std::map<std::uint64_t, entry> m_entries;
    std::map<std::uint64_t, loss_event> m_events;
};

} // namespace chervilbend::routing
