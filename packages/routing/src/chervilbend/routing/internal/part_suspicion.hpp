#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::routing
{

/// The processes of endpoints that were lost while they had a request with one part of a prompt.
struct part_suspicion {
    /// When each process was lost.
    std::map<std::uint64_t, base::time_point> losses;
    base::time_point lastLoss = base::time_point::min();
    /// When this node last granted a trial of the part, to itself or another node.
    base::time_point lastTrial = base::time_point::min();
    /// Hash of the service whose endpoint was lost last.
    std::uint64_t service = 0;
    /// The last answer of the service that lasted and came before one of the losses.
    std::optional<base::time_point> otherAnswer;
    /// Some endpoint has begun to answer a request with the part.
    bool hasBeenAnswered = false;

    /// False if this loss is known.
    bool add(std::uint64_t process, base::time_point when);
    void noteOtherAnswer(base::time_point when);
    /// The losses after @p since; all if there is no value.
    std::map<std::uint64_t, base::time_point> lossesSince(std::optional<base::time_point> since) const;
};

/// A part that may be refused, with the losses that no later answer speaks against.
struct refusal_candidate {
    std::uint64_t part = 0;
    std::map<std::uint64_t, base::time_point> losses;
    /// Whether the losses must have come at several moments. If many endpoints are lost at once, each of their requests loses several processes.
    bool needsSeveralMoments = false;
    /// Whether the part may only explain the losses of others, as nothing shows that the service answers requests without it.
    bool isUnproven = false;
};

/// The losses that a refused part is the likely cause of.
struct attributed_losses {
    std::size_t processes = 0;
    /// The part is the cause without doubt and gets no further trial.
    bool isCertain = false;
};

/// Numbers of lost processes from which a part is refused, and from which it is certain to be the cause.
struct refusal_thresholds {
    std::size_t refusal = 0;
    std::size_t certainty = 0;
};

/// Decides which candidates are refused, and returns the losses that are attributed to each.
///
/// A process that was lost with many requests counts for the refused part of them that lost most processes, and not for the others. Parts that need several
/// moments count only the processes that were not lost with any candidate that has more losses, refused or not, and are certain to be the cause only after
/// the loss of a trial, so that a sound part gets one.
std::map<std::uint64_t, attributed_losses> attributeLosses(std::vector<refusal_candidate> candidates, const refusal_thresholds &thresholds);

} // namespace chervilbend::routing
