#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/net/address.hpp>

#include <string>

namespace chervilbend::external
{

enum class host_kind {
    /// Runs a node of this system; the address is that of its port for peers.
    node,
    modelEngine,
    plainService,
};

/// An entry of the platform's host list.
struct host_entry {
    std::string id;
    host_kind kind = host_kind::node;
    net::address address;
    base::zone_id zone;
    /// Takes no new work, because the host is about to be removed.
    bool draining = false;
    /// The service that the host runs; for plainService only.
    base::service_id service;
    /// Total memory of the host's accelerators; for modelEngine only.
    base::byte_count memory;
    int accelerators = 0;
    /// Whether the engine refuses commands with an outdated fencing token; for modelEngine only.
    bool checksFencing = false;

    friend bool operator==(const host_entry &, const host_entry &) = default;
};

} // namespace chervilbend::external
