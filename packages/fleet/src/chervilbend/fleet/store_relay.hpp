#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/read_time.hpp>
#include <chervilbend/fleet/store_update.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace chervilbend::fleet
{

class configuration_follower;
class endpoint_follower;
class endpoint_registry;

/// Relays what the holder of the command lease has read from the platform's store to the other nodes, so that the load on the store does not grow
/// with the number of nodes. A node that the holder's updates do not reach in time reads the store itself.
class store_relay
{
public:
    /// References must outlive the relay.
    store_relay(const endpoint_registry &registry, endpoint_follower &endpoints, configuration_follower &configuration);

    /// Commands.

    /// The lease was gained or lost: its holder reads the store itself.
    void leaseChanged(bool isHolder);
    /// Registrations have changed or ended on this node.
    void noteChanged(const std::set<base::endpoint_id> &changed);
    /// Applies an update of the holder with this fencing token; @p requestedAt is when the exchange that delivered it began.
    void apply(std::int64_t token, const store_update &update, const read_time &requestedAt);

    /// Queries.

    /// The update for a node that has version @p version of the registrations; 0 for none. Without @p mayBeSnapshot, a node that needs the full list
    /// gets no registrations.
    store_update updatesSince(std::int64_t version, bool mayBeSnapshot = true) const;
    /// The version last applied from the holder with this token; 0 for none.
    std::int64_t appliedVersion(std::int64_t token) const
    {
        return token == m_appliedToken ? m_appliedVersion : 0;
    }

private:
    struct change_record {
        std::int64_t version = 0;
        /// The entry as relayed, without its models and heartbeat; no value when the registration has ended.
        std::optional<endpoint_entry> entry;
        std::int64_t heartbeat = 0;
        /// When the registration ended.
        base::time_point endedAt;
    };

    const endpoint_registry &m_registry;
    endpoint_follower &m_endpoints;
    configuration_follower &m_configuration;
    std::map<base::endpoint_id, change_record> m_changes;
    std::int64_t m_version = 0;
    /// Removals up to this version have been discarded, so nodes with an older version get a full snapshot.
    std::int64_t m_discardedVersion = 0;
    std::int64_t m_appliedToken = 0;
    std::int64_t m_appliedVersion = 0;
};

} // namespace chervilbend::fleet
