#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::fakes
{

/// Faults injected between the node that owns an engine and the engine. The probabilities, from 0 to 1, apply to each command.
struct engine_faults {
    /// Connections are refused, for commands and reports.
    bool unreachable = false;
    /// Probability that a command never arrives and gets no response.
    double lostCommands = 0;
    /// Probability that a command arrives but its response is lost.
    double lostAnswers = 0;
    /// Probability that a command gets no response and arrives up to @p lateBy after the response timeout.
    double lateCommands = 0;
    base::milliseconds lateBy{5'000};
    /// Probability that a command arrives, gets a response, and arrives a second time up to @p lateBy later.
    double duplicates = 0;
    /// Response time of a command or report, and how long a sender waits for a response that is lost.
    base::milliseconds delay{0};
    base::milliseconds answerTimeout{1'000};
};

} // namespace chervilbend::fakes
