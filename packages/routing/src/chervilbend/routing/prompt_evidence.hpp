#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::routing
{

/// The processes of endpoints that were lost while they had a request with a part of a prompt, before or soon after they had begun to answer it.
struct part_losses {
    /// How long ago each process was lost, so that a loss does not become newer by being passed on.
    std::map<std::uint64_t, base::milliseconds> processes;
    /// Hash of the service whose endpoint was lost last.
    std::uint64_t service = 0;
    /// How long before now another answer of the service lasted that came before one of the losses; no value if none is known.
    std::optional<base::milliseconds> otherAnswer;
    /// Whether some endpoint had begun to answer a request with the part when these losses were seen.
    bool hasBeenAnswered = false;

    friend bool operator==(const part_losses &, const part_losses &) = default;
};

/// What one node tells another about the parts of prompts. Parts are identified by hashes, and so are processes of endpoints. Messages may be lost,
/// repeated or reordered: merging them only adds to sets.
///
/// Nodes of earlier versions know `answered`, `losses`, `wanted` and `trials` alone. The losses in `losses` are in `lost`, too.
struct prompt_evidence {
    /// Parts on which some endpoint has begun to answer, and how long ago, so that an answer does not become newer by being passed on.
    std::map<std::uint64_t, base::milliseconds> answered;
    /// The processes of endpoints that were lost before they had begun to answer a request with the part.
    std::map<std::uint64_t, std::set<std::uint64_t>> losses;
    /// Parts, and services, of which an answer has come to its end or has gone on for long enough, and how long ago.
    std::map<std::uint64_t, base::milliseconds> lasted;
    /// All losses since the last such answer.
    std::map<std::uint64_t, part_losses> lost;
    /// Refused parts with which requests have arrived at the sender since its last message.
    std::vector<std::uint64_t> wanted;
    /// Refused parts with which the receiver may send one request as a trial.
    std::vector<std::uint64_t> trials;
};

} // namespace chervilbend::routing
