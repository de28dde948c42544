#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <map>
#include <optional>
#include <string>

namespace chervilbend::state
{

/// The declarations in force of one service.
struct service_view {
    config::service_declaration declaration;
    /// Offset of the record that put them in force.
    base::log_offset version;
    std::string publishId;
    std::string author;
};

/// A lease as the log has it; whether it has expired is for each reader's clock.
struct lease_view {
    base::node_id holder;
    base::incarnation life;
    /// Offset of the record that gave it to the holder.
    base::log_offset token;
};

enum class residency {
    assigned,
    loaded,
    dropping,
};

/// An item that counts in an endpoint's memory.
struct residency_view {
    residency state = residency::assigned;
    base::byte_count bytes;
    base::log_offset since;
};

/// An engine's endpoint and what counts in its memory.
struct endpoint_view {
    std::string address;
    base::zone_id zone;
    base::byte_count memory;
    base::byte_count reserved;
    bool checksFencing = false;
    std::map<base::item_id, residency_view> items;
};

/// The state of an idempotency key.
struct claim_view {
    base::node_id node;
    base::incarnation life;
    std::string claimId;
    std::string bodyHash;
    /// No value while the claimant has not reported the outcome.
    std::optional<base::run_state> outcome;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

} // namespace chervilbend::state
