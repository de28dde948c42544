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

/// Replaces the declarations of one service. In effect when @p base is the version in force (0 for a new service).
struct publish_entry {
    base::log_offset base;
    /// Chosen by the publisher; an id that was seen before has no further effect.
    std::string publishId;
    std::string author;
    /// A declaration without models and routes withdraws the service.
    config::service_declaration declaration;
};

enum class lease_action {
    acquire,
    transfer,
    release,
};

/// Changes the holder of a lease. In effect when @p base is the offset of the lease's current record (0 for none).
struct lease_entry {
    base::lease_name name;
    base::log_offset base;
    lease_action action = lease_action::acquire;
    base::node_id holder;
    base::incarnation incarnation;
};

/// Renews all leases of a node, and says how far it has folded the log.
struct heartbeat_entry {
    base::node_id node;
    base::incarnation incarnation;
    base::log_offset appliedOffset;
    /// Whether the node may have engine commands on their way.
    bool commandsOutstanding = false;
    /// Wall-clock time of sending.
    base::milliseconds sentAt{0};
};

/// An observer knows that this life of a node has ended: its port refuses connections, or the host list has not shown it for 10 minutes.
/// To be appended only when so much time has passed since then that commands of that life cannot arrive any more.
struct incarnation_ended_entry {
    base::node_id node;
    base::incarnation incarnation;
};

/// Describes an engine's endpoint. In effect under the current planner's token.
struct endpoint_entry {
    base::endpoint_id endpoint;
    std::string address;
    base::zone_id zone;
    base::byte_count memory;
    bool checksFencing = false;
    /// The host list no longer shows it: its items no longer count.
    bool removed = false;
    base::log_offset plannerToken;
};

/// Reserves memory for an item at an endpoint. In effect under the current planner's token, and when it fits.
struct assign_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::byte_count bytes;
    base::log_offset plannerToken;
};

/// The endpoint's owner saw the item loaded, or no longer loaded after a restart of the engine.
struct loaded_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::log_offset ownerToken;
    /// The engine lost the item: it counts as assigned again, until it is reloaded.
    bool lost = false;
};

/// Asks the endpoint's owner to unload. In effect under the current planner's token, unless it is the last loaded copy of a declared item.
struct drop_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::log_offset plannerToken;
};

/// The endpoint's owner saw the item unloaded; its memory is free again.
struct released_entry {
    base::endpoint_id endpoint;
    base::item_id item;
    base::log_offset ownerToken;
};

/// A node's claim to run one non-repeatable order.
struct claim_entry {
    /// Hash of account, route and idempotency key.
    std::string keyHash;
    std::string bodyHash;
    base::node_id node;
    base::incarnation incarnation;
    /// Distinguishes claims of one node.
    std::string claimId;
    /// Wall-clock time of the claim.
    base::milliseconds claimedAt{0};
    /// Offset of the record that last freed the key, as folded when the attempt arrived (0 for none). In effect only when it still is the
    /// last one, so that an attempt that was under way when another was answered "not run" cannot run the order afterwards.
    base::log_offset base;
    /// How long the key is remembered, up to 24 h. Part of the record, because all nodes must forget the key at the same record.
    base::milliseconds lifetime{7'200'000};
};

/// Answers above this size are not kept in the log, in bytes.
inline constexpr std::size_t maxRecordedBodyBytes = 8192;

/// What became of a claim.
struct outcome_entry {
    std::string keyHash;
    std::string claimId;
    base::run_state state = base::run_state::unknown;
    int httpStatus = 0;
    std::string contentType;
    /// The endpoint's answer, up to longestRecordedBody; longer ones are not kept.
    std::string body;
};

/// Counts of one node for one minute, for the daily page.
struct minute_counts_entry {
    base::node_id node;
    base::incarnation incarnation;
    /// Wall-clock start of the minute.
    base::milliseconds minute{0};
    std::map<std::string, std::int64_t> counts;
};

/// A chunk of the folded state of a stream. Read when a follower starts; the fold passes over it.
struct checkpoint_entry {
    /// The stream whose records the state was folded from.
    std::string stream;
    /// The state holds all records of the stream up to this one.
    base::log_offset appliedOffset;
    /// Chunks of one checkpoint carry the same id.
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
