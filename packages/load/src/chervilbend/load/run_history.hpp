#pragma once

#include <chervilbend/load/attempt.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilbend::load
{

/// The highest memory use that an engine has recorded since its process started.
struct memory_sample {
    std::string endpoint;
    std::int64_t atMs = 0;
    std::int64_t highestBytes = 0;
    std::int64_t capacityBytes = 0;
};

/// Number of requests that an endpoint has received since its process started.
struct request_count_sample {
    std::string endpoint;
    std::int64_t atMs = 0;
    std::int64_t requests = 0;
};

/// Configuration versions in force at a node that is ready.
struct version_sample {
    /// IP:PORT of the node's peer port.
    std::string node;
    std::int64_t atMs = 0;
    /// When the query was sent. The sample describes the state at some time between requestedMs and atMs.
    std::int64_t requestedMs = 0;
    std::map<std::string, std::int64_t> services;
};

/// An action of the fault injection script, or a result reported to an operator.
struct event {
    std::int64_t atMs = 0;
    /// "accepted", "term", "ended", "kill", "pause", "resume", "leaving", "staying", "log-fault" or "log-healed", among others.
    std::string type;
    /// Endpoint, service or node name.
    std::string subject;
    /// For nodes: IP:PORT of the port for callers and of the port for peers.
    std::string callerAddress;
    std::string peerAddress;
    std::int64_t version = 0;
    std::int64_t baseVersion = 0;
};

/// All external observations of one run.
struct run_history {
    std::vector<attempt> attempts;
    std::vector<memory_sample> memory;
    std::vector<request_count_sample> requestCounts;
    std::vector<version_sample> versions;
    std::vector<event> events;
    /// Execution counts by idempotency key, summed over all instances of the order service.
    std::map<std::string, std::int64_t> runs;
    bool hasRuns = false;
    std::int64_t unreadableLines = 0;
};

} // namespace chervilbend::load
