#pragma once

#include <chervilbend/load/attempt.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilbend::load
{

/// Memory that an engine counted of itself, at most, since its process started.
struct memory_sample {
    std::string endpoint;
    std::int64_t atMs = 0;
    std::int64_t highest = 0;
    std::int64_t capacity = 0;
};

/// Requests that an endpoint has taken since its process started.
struct work_sample {
    std::string endpoint;
    std::int64_t atMs = 0;
    std::int64_t taken = 0;
};

/// Versions in force at a node that is ready.
struct version_sample {
    /// IP:PORT of the node's peer port.
    std::string node;
    std::int64_t atMs = 0;
    /// When the question was sent; the answer describes a moment between the two.
    std::int64_t askedMs = 0;
    std::map<std::string, std::int64_t> services;
};

/// What the fault script did, or what an operator was told.
struct event {
    std::int64_t atMs = 0;
    /// "accepted", "term", "ended", "kill", "pause", "resume", "leaving", "staying", "log-fault" or "log-healed", among others.
    std::string what;
    /// Endpoint, service, or name of a node.
    std::string who;
    /// For nodes: IP:PORT of the callers' port and of the peer port.
    std::string callers;
    std::string peers;
    std::int64_t version = 0;
    std::int64_t base = 0;
};

/// All that was seen of one run, from outside.
struct run_history {
    std::vector<attempt> attempts;
    std::vector<memory_sample> memory;
    std::vector<work_sample> work;
    std::vector<version_sample> versions;
    std::vector<event> events;
    /// Runs by idempotency key, over all instances of the order service.
    std::map<std::string, std::int64_t> runs;
    bool hasRuns = false;
    std::int64_t unreadableLines = 0;
};

} // namespace chervilbend::load
