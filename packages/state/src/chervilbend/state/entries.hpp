#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace chervilbend::state
{

/// Replaces the declaration of one service. Accepted only if @p base is the current version (0 for a new service).
struct publish_entry {
    base::log_offset base;
    /// Chosen by the publisher. An entry whose id was seen before is ignored.
    std::string publishId;
    std::string author;
    /// A declaration without models and routes removes the service.
    config::service_declaration declaration;
};

enum class lease_action {
    acquire,
    transfer,
    release,
};

/// Changes the holder of a lease. Accepted only if @p base is the offset of the lease's current record (0 if there is none).
struct lease_entry {
    base::lease_name name;
    base::log_offset base;
    lease_action action = lease_action::acquire;
    base::node_id holder;
    base::incarnation incarnation;
};

/// Renews all leases of a node and reports the last log offset that it has applied.
struct heartbeat_entry {
    base::node_id node;
    base::incarnation incarnation;
    base::log_offset appliedOffset;
    /// Whether engine commands of the node may still be in flight.
    bool commandsOutstanding = false;
    /// Wall-clock time of sending.
    base::milliseconds sentAt{0};
};

/// Reports that this incarnation of a node has ended: its port refuses connections, or the host list has not contained it for 10 minutes.
/// Must be appended only after enough time has passed that commands sent by that incarnation can no longer arrive.
struct incarnation_ended_entry {
    base::node_id node;
    base::incarnation incarnation;
};

/// Registers, updates or removes an engine's endpoint. Accepted only with the current planner's token.
struct endpoint_entry {
    base::endpoint_id endpoint;
    std::string address;
    base::zone_id zone;
    base::byte_count memory;
    bool checksFencing = false;
    /// The endpoint is no longer in the host list; its items no longer count as resident.
    bool removed = false;
    base::log_offset plannerToken;
};

/// Reserves memory for an item at an endpoint. Accepted only with the current planner's token and if the memory suffices.
struct assign_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::byte_count bytes;
    base::log_offset plannerToken;
};

/// Reports that the endpoint's owner observed the item as loaded, or as no longer loaded after a restart of the engine.
struct loaded_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::log_offset ownerToken;
    /// The engine lost the item, which returns to the assigned state until it is reloaded.
    bool lost = false;
};

/// Requests the endpoint's owner to unload an item. Accepted only with the current planner's token, and not for the last loaded copy of a
/// declared item.
struct drop_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::log_offset plannerToken;
};

/// Reports that the endpoint's owner observed the item as unloaded. Frees the item's memory.
struct released_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::log_offset ownerToken;
};

/// A node's claim to the exclusive execution of one non-repeatable order.
struct claim_entry {
    /// Hash of account, route and idempotency key.
    std::string keyHash;
    std::string bodyHash;
    base::node_id node;
    base::incarnation incarnation;
    /// Unique among the claims of one node.
    std::string claimId;
    /// Wall-clock time of the claim.
    base::milliseconds claimedAt{0};
    /// Offset of the record that last freed the key, as applied when the attempt arrived (0 for none). The claim is accepted only if no
    /// later record freed the key. An attempt that was in progress when another attempt was answered "not run" thus cannot run the order
    /// after that answer.
    base::log_offset base;
    /// Retention period of the key, at most 24 h. Part of the record because all nodes must expire the key at the same record.
    base::milliseconds lifetime{7'200'000};
};

/// Maximum size of a response body that is stored in the log, in bytes.
inline constexpr std::size_t maxRecordedBodyBytes = 8192;

/// The result of a claimed order.
struct outcome_entry {
    std::string keyHash;
    std::string claimId;
    base::run_state state = base::run_state::unknown;
    int httpStatus = 0;
    std::string contentType;
    /// The endpoint's response body. Bodies above maxRecordedBodyBytes are not stored.
    std::string body;
};

/// Counts of one node for one minute, for the daily report.
struct minute_counts_entry {
    base::node_id node;
    base::incarnation incarnation;
    /// Wall-clock start of the minute.
    base::milliseconds minute{0};
    std::map<std::string, std::int64_t> counts;
};

/// A chunk of a snapshot of a stream's state. Read when a follower starts; ignored when records are applied.
struct checkpoint_entry {
    /// The stream that the state was built from.
    std::string stream;
    /// The state includes all records of the stream up to this offset.
    base::log_offset appliedOffset;
    /// Shared by all chunks of a checkpoint.
    std::string checkpointId;
    int chunk = 0;
    /// Number of chunks, 1 to 65,536.
    int chunks = 1;
    std::string data;
};

using entry = std::variant<publish_entry,
                           lease_entry,
                           heartbeat_entry,
                           endpoint_entry,
                           assign_entry,
                           loaded_entry,
                           drop_entry,
                           released_entry,
                           claim_entry,
                           outcome_entry,
                           minute_counts_entry,
                           incarnation_ended_entry,
                           checkpoint_entry>;

} // namespace chervilbend::state
