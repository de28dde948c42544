#pragma once

#include <chervilbend/base/work_class.hpp>

#include <cstdint>

namespace chervilbend::measure
{

/// One request of a simulated run and its result. Times are in virtual milliseconds from the start of the run.
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

    /// Time of arrival at an engine; negative if it has not arrived.
    double arrivedAtEngine = -1;
    /// Time at which it joined an engine's batch; negative if it has not.
    double started = -1;
    /// Time at which it was answered; negative if it was not.
    double ended = -1;
    /// Time at which it was refused or failed; negative if it was not.
    double failed = -1;
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
