#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/net/address.hpp>

#include <string>

namespace chervilbend::external
{

enum class host_kind {
    /// Runs a node of this system; the address is its peers' port.
    node,
    modelEngine,
    plainService,
};

/// One line of the platform's list of hosts.
struct host_entry {
    std::string id;
    host_kind kind = host_kind::node;
    net::address address;
    base::zone_id zone;
    /// On its way out: takes no new work.
    bool draining = false;
    /// Of a plain service's host: the service that it runs.
    base::service_id service;
    /// Of an engine's host: memory of its accelerators together.
    base::byte_count memory;
    int accelerators = 0;
    /// Of an engine's host: whether it refuses commands with an old fencing token.
    bool checksFencing = false;

    friend bool operator==(const host_entry &, const host_entry &) = default;
};

} // namespace chervilbend::external
