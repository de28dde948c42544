#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace chervilbend::fleet
{
class endpoint_registry;
class published_versions;
class residency_view;
} // namespace chervilbend::fleet

namespace chervilbend::routing
{
class traffic_director;
} // namespace chervilbend::routing

namespace chervilbend::node
{

class endpoint_directory;

/// Updates the traffic director and the endpoint directory from the endpoint registry and the residency view: which endpoints exist, what
/// each of them serves, and their addresses.
class endpoint_feed
{
public:
    /// References must outlive the feed. @p crossZoneRoundTripMs is added to the expected wait at endpoints in other zones.
    endpoint_feed(routing::traffic_director &director,
                  endpoint_directory &directory,
                  const fleet::endpoint_registry &registry,
                  const fleet::residency_view &residency,
                  const fleet::published_versions &versions,
                  base::zone_id ownZone,
                  double crossZoneRoundTripMs);

    /// Applies the current entries of the registry and the residency view for the endpoints in @p changed. Endpoints that are no longer
    /// registered, or whose process has restarted, are removed from the director first.
    void update(const std::set<base::endpoint_id> &changed);

    /// The same for all endpoints of the registry. Those whose software version is not published yet are left out.
    void updateAll();

    /// Sets the function that is called after each change of the director's endpoints, so that queued requests are considered again.
    void onChange(std::function<void()> listener);

private:
    void updateOne(const base::endpoint_id &id);

    routing::traffic_director &m_director;
    endpoint_directory &m_directory;
    const fleet::endpoint_registry &m_registry;
    const fleet::residency_view &m_residency;
    const fleet::published_versions &m_versions;
    base::zone_id m_ownZone;
    double m_crossZoneRoundTripMs;
    /// Start time of the process that the director knows, by endpoint. A different one means that the endpoint has restarted.
    std::map<base::endpoint_id, std::int64_t> m_startTimes;
    std::function<void()> m_listener;
};

} // namespace chervilbend::node
