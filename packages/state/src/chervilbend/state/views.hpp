#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::state
{

/// The current declaration of one service.
struct service_view {
    config::service_declaration declaration;
    /// Offset of the record that published the declaration.
    base::log_offset version;
    std::string publishId;
    std::string author;
};

/// A publish and whether it was accepted.
struct publish_view {
    std::string publishId;
    base::service_id service;
    std::string author;
    /// The version that the publish was based on.
    base::log_offset base;
    /// Offset of the publish's record, which is the new version if it was accepted.
    base::log_offset record;
    bool accepted = false;
};

/// A lease as recorded in the log; it is free if it has no holder. Each reader determines by its own clock whether the lease has expired.
struct lease_view {
    base::node_id holder;
    base::incarnation incarnation;
    /// Offset of the lease's current record, which granted or released the lease.
    base::log_offset token;
};

/// The last heartbeat of a node.
struct heartbeat_view {
    base::incarnation incarnation;
    base::log_offset appliedOffset;
    bool commandsOutstanding = false;
    /// Wall-clock time of sending.
    base::milliseconds sentAt{0};
    /// Offset of the heartbeat's record.
    base::log_offset record;
};

enum class residency {
    assigned,
    loaded,
    dropping,
};

/// A former owner of an endpoint whose load commands may still be in flight.
struct quarantine_view {
    base::node_id node;
    base::incarnation incarnation;
    /// Offset of the record that ended its ownership of the endpoint's lease.
    base::log_offset lostAt;
};

/// An item that occupies memory of an endpoint.
struct residency_view {
    residency state = residency::assigned;
    base::byte_count bytes;
    /// Offset of the record that caused the current state.
    base::log_offset since;
    /// While this list is not empty, the item must not be released. Used only for endpoints that do not check fencing tokens.
    std::vector<quarantine_view> quarantine;
};

/// An engine's endpoint and the items that occupy its memory.
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
    base::incarnation incarnation;
    std::string claimId;
    std::string bodyHash;
    /// Has no value until the claiming node has reported the outcome.
    std::optional<base::run_state> outcome;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
    /// Offset of the claim's record.
    base::log_offset record;
};

/// The minutes of a day that a node has reported.
struct day_coverage {
    base::incarnation incarnation;
    base::milliseconds firstMinute{0};
    base::milliseconds lastMinute{0};
    int minutes = 0;
};

/// Counts of one UTC day.
struct day_view {
    /// Sums over all nodes.
    std::map<std::string, std::int64_t> counts;
    std::map<base::node_id, day_coverage> nodes;
};

/// Counters of entries that were not applied. For metrics only, not part of the replicated state.
struct apply_counters {
    /// Entries of an unknown kind or a newer version.
    std::int64_t skipped = 0;
    /// Records that are not an array of entries, and entries with missing or invalid fields.
    std::int64_t malformed = 0;
    /// Valid entries that had no effect.
    std::int64_t rejected = 0;
};

} // namespace chervilbend::state
