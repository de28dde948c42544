#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::fakes
{

/// What goes wrong at the log service. Shares are probabilities from 0 to 1, drawn for each append.
struct log_faults {
    /// Refuses appends and reads.
    bool outage = false;
    /// Added to each append and read.
    base::milliseconds delay{0};
    /// Appends that take effect and whose answer is lost.
    double lostAnswers = 0;
    /// Appends that never take effect and get no answer.
    double lostAppends = 0;
    /// Appends that get no answer and take effect up to @p lateBy after that.
    double lateAppends = 0;
    base::milliseconds lateBy{5'000};
    /// How long a writer waits for an answer that does not come.
    base::milliseconds answerTimeout{1'000};
};

} // namespace chervilbend::fakes
