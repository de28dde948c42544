#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/state/views.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace chervilbend::state
{

/// Deterministic state machine over a stream of the log: applying the same records in the same order gives the same state on all nodes.
class replicated_state
{
public:
    replicated_state();
    ~replicated_state();
    replicated_state(const replicated_state &) = delete;
    replicated_state &operator=(const replicated_state &) = delete;

    /// Commands.

    /// Applies the record at @p offset. Records at or below appliedOffset() are ignored, and so are entries that are stale, invalid or of
    /// an unknown kind.
    void apply(base::log_offset offset, std::string_view payload);

    /// Replaces the state by a dump. Returns false, without a change, if the dump is malformed or not newer than this state.
    bool restore(std::string_view dump);

    /// Queries.

    /// Offset of the last record applied.
    base::log_offset appliedOffset() const;
    const std::map<base::service_id, service_view> &services() const;
    /// The most recent publishes with their results, oldest first.
    const std::deque<publish_view> &publishes() const;
    /// The result of a publish; nullptr if it was not applied or is no longer among the most recent ones.
    const publish_view *publish(const std::string &publishId) const;
    /// Whether a service declares the model or adapter.
    bool isDeclared(const base::item_id &item) const;

    const std::map<base::lease_name, lease_view> &leases() const;
    /// Fencing token of the current holder; 0 if the lease is free.
    base::log_offset plannerToken() const;
    base::log_offset ownerToken(const base::endpoint_id &endpoint) const;
    /// The last heartbeat of each node whose incarnation has not ended.
    const std::map<base::node_id, heartbeat_view> &heartbeats() const;
    /// Whether this incarnation of the node has ended according to the records.
    bool hasEnded(const base::node_id &node, base::incarnation incarnation) const;

    const std::map<base::endpoint_id, endpoint_view> &endpoints() const;
    /// Items whose memory must not be freed yet, by endpoint.
    std::map<base::endpoint_id, std::map<base::item_id, residency_view>> quarantined() const;

    /// The claim that holds the key; nullptr if the key is free.
    const claim_view *claim(const std::string &keyHash) const;
    /// The value of claim_entry::base that a new claim of the key needs.
    base::log_offset claimBase(const std::string &keyHash) const;
    std::size_t claimCount() const;

    /// Counts by day number since 1970-01-01 UTC; at most the last 3 days.
    const std::map<std::int64_t, day_view> &days() const;

    /// Wall-clock time derived from the records; 0 before the first record with a timestamp.
    base::milliseconds recordTime() const;
    const apply_counters &counters() const;

    /// Serializes the state in a canonical form: equal states have equal dumps.
    std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Name of the planner's lease, "planner".
base::lease_name plannerLease();
/// Name of the lease that gives ownership of an endpoint, "endpoint/ID".
base::lease_name endpointLease(const base::endpoint_id &endpoint);

} // namespace chervilbend::state
