#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::fakes
{

/// Faults injected into the log service. The probabilities, from 0 to 1, apply to each append.
struct log_faults {
    /// Whether appends and reads are refused.
    bool outage = false;
    /// Added to each append and read.
    base::milliseconds delay{0};
    /// Probability that an append takes effect but its response is lost.
    double lostAnswers = 0;
    /// Probability that an append never takes effect and gets no response.
    double lostAppends = 0;
    /// Probability that an append gets no response and takes effect up to @p lateBy after the response timeout.
    double lateAppends = 0;
    base::milliseconds lateBy{5'000};
    /// How long a writer waits for a response that is lost.
    base::milliseconds answerTimeout{1'000};
};

} // namespace chervilbend::fakes
