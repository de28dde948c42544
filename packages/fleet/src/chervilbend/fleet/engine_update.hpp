#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/lease_record.hpp>
#include <chervilbend/fleet/store_update.hpp>
#include <chervilbend/routing/helper_nodes.hpp>
#include <chervilbend/routing/prompt_evidence.hpp>
#include <chervilbend/routing/rate_limit_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// What an engine holds, as sent by the holder of the command lease.
struct engine_update {
    base::endpoint_id engine;
    /// Start time of the engine's process.
    std::int64_t startedAt = 0;
    /// The holder's fencing token, and the version of this update; greater values are newer, compared in this order.
    std::int64_t token = 0;
    std::int64_t version = 0;
    /// The loaded items, which requests may rely on.
    std::vector<resident_model> models;
};

/// A node's periodic report to the holder.
struct node_report {
    base::node_id node;
    /// Open requests by "SERVICE/MODEL" and "SERVICE/MODEL/ADAPTER".
    std::map<std::string, int> open;
    /// Adapters that were requested since the last report, as "SERVICE/MODEL/ADAPTER".
    std::vector<std::string> used;
    /// Token and version of the latest updates that the node has received; 0 for none.
    std::int64_t token = 0;
    std::int64_t version = 0;
    /// What the node has seen of the parts of prompts.
    routing::prompt_evidence prompts;
    /// What the node knows and wants of the request rates that endpoints allow.
    routing::rate_limit_report rateLimits;
    /// Endpoints that have recently said in an answer that they are about to stop.
    std::vector<routing::endpoint_process> leaving;
    /// Endpoints that have recently refused a connection of the node.
    std::vector<routing::endpoint_process> unreachable;
    /// What the node says of itself as a helper; no value from nodes that run an earlier version.
    std::optional<routing::helper_node> helper;
    /// Version of the registrations that the node has from the holder with this token; 0 for none.
    std::int64_t registrationsVersion = 0;
};

/// The holder's response to a report.
struct holder_response {
    lease_record lease;
    /// Position of the lease record, and the time since its renewal was sent.
    std::int64_t offset = 0;
    base::milliseconds age{0};
    /// When the node is to report again.
    base::milliseconds reportInterval{250};
    /// Number of nodes that have reported recently, including the holder.
    int nodes = 1;
    /// The position of the node among them, from 0; no value from holders that run an earlier version.
    std::optional<int> rank;
    std::int64_t version = 0;
    /// Engines that have changed since the version that the node had.
    std::vector<engine_update> updates;
    store_update store;
    /// What the holder knows of the parts of prompts.
    routing::prompt_evidence prompts;
    routing::rate_limit_answer rateLimits;
    std::vector<routing::endpoint_process> leaving;
    /// Endpoints that refuse connections according to the reports of other nodes.
    std::vector<routing::endpoint_process> unreachable;
    /// Nodes that can serve requests of the node if it reaches no endpoint.
    std::vector<routing::helper_node> helpers;
};

/// A model or adapter that a request needs.
struct requested_item {
    base::service_id service;
    std::string model;
    /// Empty for the model itself.
    std::string adapter;

    friend auto operator<=>(const requested_item &, const requested_item &) = default;
};

} // namespace chervilbend::fleet
