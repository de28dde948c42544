#pragma once

#include <chervilbend/base/work_class.hpp>

#include <cstdint>

namespace chervilbend::measure
{

/// One request of a simulated run and what became of it. Times are in virtual milliseconds from the start of the run.
struct job {
    double arrival = 0;
    double deadline = 0;
    int promptTokens = 0;
    int tokens = 1;
    int maxTokens = 1;
    int account = 0;
    int node = 0;
    base::work_class urgency = base::work_class::normal;
    bool isLong = false;
    /// Crashes the engine that runs it.
    bool isPoison = false;
    std::uint64_t fingerprint = 0;

    /// When it arrived at an engine; negative when it has not.
    double atEngine = -1;
    /// When an engine's batch took it; negative when none has.
    double started = -1;
    /// When it was answered; negative when it was not.
    double ended = -1;
    /// When it was refused or failed; negative when it was not.
    double givenUp = -1;
    bool wasRefusedAsSuspect = false;

    double wait() const
    {
        return started - arrival;
    }
    double latency() const
    {
        return ended - arrival;
    }
};

} // namespace chervilbend::measure
