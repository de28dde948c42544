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

/// The declarations in force of one service.
struct service_view {
    config::service_declaration declaration;
    /// Offset of the record that put them in force.
    base::log_offset version;
    std::string publishId;
    std::string author;
};

/// A publish, whether it came into force or not.
struct publish_view {
    std::string publishId;
    base::service_id service;
    std::string author;
    /// The version that it was to replace.
    base::log_offset base;
    /// Offset of its record, which is the new version when it was accepted.
    base::log_offset record;
    bool accepted = false;
};

/// A lease as the log has it; without a holder it is free. Whether it has expired is for each reader's clock.
struct lease_view {
    base::node_id holder;
    base::incarnation incarnation;
    /// Offset of the lease's current record: the one that gave it to the holder, or released it.
    base::log_offset token;
};

/// The last heartbeat of a node.
struct heartbeat_view {
    base::incarnation incarnation;
    base::log_offset appliedOffset;
    bool commandsOutstanding = false;
    /// Wall-clock time of sending.
    base::milliseconds sentAt{0};
    /// Offset of its record.
    base::log_offset record;
};

enum class residency {
    assigned,
    loaded,
    dropping,
};

/// A former owner that may still have a load command on its way.
struct quarantine_view {
    base::node_id node;
    base::incarnation incarnation;
    /// Offset of the record by which it lost the endpoint's lease.
    base::log_offset lostAt;
};

/// An item that counts in an endpoint's memory.
struct residency_view {
    residency state = residency::assigned;
    base::byte_count bytes;
    /// Offset of the record that put it into this state.
    base::log_offset since;
    /// Not empty while the item may not be released. Only at endpoints that do not check fencing tokens.
    std::vector<quarantine_view> quarantine;
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
    base::incarnation incarnation;
    std::string claimId;
    std::string bodyHash;
    /// No value while the claimant has not reported the outcome.
    std::optional<base::run_state> outcome;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
    /// Offset of the claim's record.
    base::log_offset record;
};

/// Which minutes of a day a node has reported.
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

/// What the fold passed over. Kept for metrics, not part of the state.
struct apply_counters {
    /// Entries of an unknown kind or a newer version.
    std::int64_t skipped = 0;
    /// Records that are not an array of entries, and entries with missing or wrong fields.
    std::int64_t malformed = 0;
    /// Valid entries that had no effect.
    std::int64_t rejected = 0;
};

} // namespace chervilbend::state
