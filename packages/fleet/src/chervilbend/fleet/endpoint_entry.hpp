#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/net/address.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// A model in an engine's memory, with those of its adapters that are loaded.
struct resident_model {
    std::string name;
    std::vector<std::string> adapters;

    friend bool operator==(const resident_model &, const resident_model &) = default;
};

/// An endpoint's registration, as written by the endpoint.
struct endpoint_entry {
    base::endpoint_id id;
    base::service_id service;
    net::address address;
    base::zone_id zone;
    /// Empty if it is not known.
    base::software_version softwareVersion;
    /// Number of requests that it runs concurrently.
    int slots = 1;
    /// Shutting down: accepts no new work.
    bool draining = false;
    /// Time until an endpoint with a termination notice is shut down.
    std::optional<base::milliseconds> remaining;
    /// Start time of its process. A changed value under the same ID means a new process that has lost all previous state.
    std::int64_t startedAt = 0;
    /// Sequence number of the entry; increases with each write by the endpoint.
    std::int64_t heartbeat = 0;
    /// Engines only.
    std::vector<resident_model> models;
    /// Models whose weights are in its host memory or on its disk.
    std::set<std::string> cached;

    friend bool operator==(const endpoint_entry &, const endpoint_entry &) = default;
};

} // namespace chervilbend::fleet
