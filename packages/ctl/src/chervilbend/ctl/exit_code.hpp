#pragma once

namespace chervilbend::ctl
{

/// Exit codes of chervilctl, documented in docs/operators.md.
enum class exit_code {
    done = 0,
    /// Also what gflags exits with on an unknown flag.
    usageError = 1,
    /// The service files have errors; nothing was sent.
    invalidFiles = 2,
    /// The change was not accepted and will not be, or the node answered the question with an error.
    rejected = 3,
    /// Whether the change is or will be accepted is not known yet.
    undecided = 4,
    /// The change is accepted but was not seen in force on all known nodes.
    notInForceEverywhere = 5,
    /// The node could not be reached or refused the key; nothing was changed.
    nodeUnavailable = 6,
};

} // namespace chervilbend::ctl
