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

/// A model in an engine's memory, with those of its adapters that are there too.
struct resident_model {
    std::string name;
    std::vector<std::string> adapters;

    friend bool operator==(const resident_model &, const resident_model &) = default;
};

/// What an endpoint has registered of itself.
struct endpoint_entry {
    base::endpoint_id id;
    base::service_id service;
    net::address address;
    base::zone_id zone;
    /// Requests that it runs at once.
    int slots = 1;
    /// On its way out: takes no new work.
    bool draining = false;
    /// Time that is left to an endpoint that is taken away at short notice.
    std::optional<base::milliseconds> remaining;
    /// Start of its process; a changed value under the same id is a new process that holds nothing of before.
    std::int64_t startedAt = 0;
    /// Grows each time the endpoint writes its entry.
    std::int64_t heartbeat = 0;
    /// Engines only.
    std::vector<resident_model> models;
    /// Models whose weights are in its host memory or on its disk.
    std::set<std::string> cached;

    friend bool operator==(const endpoint_entry &, const endpoint_entry &) = default;
};

} // namespace chervilbend::fleet
