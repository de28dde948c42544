#pragma once

namespace chervilbend::ctl
{

/// Exit codes of chervilctl, documented in docs/operators.md.
enum class exit_code {
    done = 0,
    /// gflags exits with the same code on an unknown flag.
    usageError = 1,
    /// The service files have errors; nothing was sent.
    invalidFiles = 2,
    /// The change was rejected and will not be accepted later, or the node answered the query with an error.
    rejected = 3,
    /// It is not known yet whether the change has been or will be accepted.
    undecided = 4,
    /// The change was accepted but not yet seen in force on all known nodes.
    notInForceEverywhere = 5,
    /// The node could not be reached or rejected the key; nothing was changed.
    nodeUnavailable = 6,
};

} // namespace chervilbend::ctl
