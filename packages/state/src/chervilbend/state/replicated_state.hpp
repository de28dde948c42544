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

/// The state that all nodes derive from a stream of the log: the same records in the same order give the same state.
class replicated_state
{
public:
    replicated_state();
    ~replicated_state();
    replicated_state(const replicated_state &) = delete;
    replicated_state &operator=(const replicated_state &) = delete;

    /// Commands.

    /// Applies the record at @p offset; one that is not greater than folded() has no effect. Entries that are out of date, invalid or
    /// of unknown kind have no effect.
    void apply(base::log_offset offset, std::string_view payload);

    /// Replaces the state by a dump. False, without a change, when the dump is damaged or not newer than this state.
    bool restore(std::string_view dump);

    /// Queries.

    /// Offset of the last record applied.
    base::log_offset appliedOffset() const;
    const std::map<base::service_id, service_view> &services() const;
    /// The latest publishes with their results, oldest first.
    const std::deque<publish_view> &publishes() const;
    /// The result of a publish; nullptr when it was not folded, or too long ago.
    const publish_view *publish(const std::string &publishId) const;
    /// Whether a service declares the model or adapter.
    bool isDeclared(const base::item_id &item) const;

    const std::map<base::lease_name, lease_view> &leases() const;
    /// Token of the current holder; 0 when nobody holds the lease.
    base::log_offset plannerToken() const;
    base::log_offset ownerToken(const base::endpoint_id &endpoint) const;
    /// The last heartbeat of each node that has not ended.
    const std::map<base::node_id, heartbeat_view> &heartbeats() const;
    /// Whether records say that this life of the node has ended.
    bool hasEnded(const base::node_id &node, base::incarnation incarnation) const;

    const std::map<base::endpoint_id, endpoint_view> &endpoints() const;
    /// Items that may not be released yet, by endpoint.
    std::map<base::endpoint_id, std::map<base::item_id, residency_view>> quarantined() const;

    /// The key's state, nullptr when it is free.
    const claim_view *claim(const std::string &keyHash) const;
    /// What a new claim of the key must name as its base.
    base::log_offset claimBase(const std::string &keyHash) const;
    std::size_t claimCount() const;

    /// Counts by day number since 1970-01-01 UTC; at most the last 3 days.
    const std::map<std::int64_t, day_view> &days() const;

    /// Wall-clock time as the records tell it; 0 before the first one that carries a time.
    base::milliseconds recordTime() const;
    const apply_counters &counters() const;

    /// The whole state in a canonical form: equal states have equal dumps.
    std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// "planner".
base::lease_name plannerLease();
/// "endpoint/ID".
base::lease_name endpointLease(const base::endpoint_id &endpoint);

} // namespace chervilbend::state
