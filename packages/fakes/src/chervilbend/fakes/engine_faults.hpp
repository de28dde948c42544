#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::fakes
{

/// What goes wrong between an owner and an engine. Shares are probabilities from 0 to 1, drawn for each command.
struct engine_faults {
    /// Connections are refused, for commands and reports.
    bool unreachable = false;
    /// Commands that never arrive and get no answer.
    double lostCommands = 0;
    /// Commands that arrive and whose answer is lost.
    double lostAnswers = 0;
    /// Commands that get no answer and arrive up to @p lateBy later.
    double lateCommands = 0;
    base::milliseconds lateBy{5'000};
    /// Commands that arrive, are answered, and arrive once more up to @p lateBy later.
    double duplicates = 0;
    /// Time until a command is answered, and how long a sender waits for an answer that does not come.
    base::milliseconds delay{0};
    base::milliseconds answerTimeout{1'000};
};

} // namespace chervilbend::fakes
