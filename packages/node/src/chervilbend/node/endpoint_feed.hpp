#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace chervilbend::fleet
{
class endpoint_registry;
class residency_view;
} // namespace chervilbend::fleet

namespace chervilbend::routing
{
class traffic_director;
} // namespace chervilbend::routing

namespace chervilbend::node
{

class endpoint_directory;

/// Tells the traffic director which registered endpoints there are and what each of them serves, and keeps their addresses.
class endpoint_feed
{
public:
    /// References must outlive the feed. @p crossZoneRoundTripMs is added to the expected wait at endpoints in other zones.
    endpoint_feed(routing::traffic_director &director,
                  endpoint_directory &directory,
                  const fleet::endpoint_registry &registry,
                  const fleet::residency_view &residency,
                  base::zone_id ownZone,
                  double crossZoneRoundTripMs);

    /// Takes over what the registry and the residency view have of these endpoints.
    void update(const std::set<base::endpoint_id> &changed);

    /// Called after each change of the director's endpoints, so that waiting requests are looked at again.
    void onChange(std::function<void()> changed);

private:
    void updateOne(const base::endpoint_id &id);

    routing::traffic_director &m_director;
    endpoint_directory &m_directory;
    const fleet::endpoint_registry &m_registry;
    const fleet::residency_view &m_residency;
    base::zone_id m_ownZone;
    double m_crossZoneRoundTripMs;
    /// Start of the process that the director knows, by endpoint.
    std::map<base::endpoint_id, std::int64_t> m_born;
    std::function<void()> m_changed;
};

} // namespace chervilbend::node
