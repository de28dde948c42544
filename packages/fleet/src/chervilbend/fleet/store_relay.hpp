#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
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

/// Passes on from the holder of the command lease what it has read in the platform's store, so that the calls to the store do not grow with the
/// number of nodes. A node that the holder's word does not reach in time reads the store itself.
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
    /// Takes the word of the holder with this fencing token; @p asked is when the exchange that brought it began.
    void take(std::int64_t token, const store_update &news, base::time_point asked);

    /// Queries.

    /// For a node that has the registrations of @p version; 0 for none.
    store_update newsSince(std::int64_t version) const;
    /// The version that take() has brought from the holder with this token; 0 for none.
    std::int64_t versionFrom(std::int64_t token) const
    {
        return token == m_takenToken ? m_takenVersion : 0;
    }

private:
    struct change_mark {
        std::int64_t version = 0;
        /// The entry as it was passed on, without its models; no value when the registration has ended.
        std::optional<endpoint_entry> entry;
        /// When the registration ended.
        base::time_point endedAt;
    };

    const endpoint_registry &m_registry;
    endpoint_follower &m_endpoints;
    configuration_follower &m_configuration;
    std::map<base::endpoint_id, change_mark> m_marks;
    std::int64_t m_version = 0;
    /// Changes up to this version can no longer be told one by one.
    std::int64_t m_forgotten = 0;
    std::int64_t m_takenToken = 0;
    std::int64_t m_takenVersion = 0;
};

} // namespace chervilbend::fleet
