#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/control/report_listener.hpp>
#include <chervilbend/external/engine_report.hpp>
#include <chervilbend/external/host_entry.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervilbend::routing
{
class traffic_director;
} // namespace chervilbend::routing

namespace chervilbend::state
{
class replicated_state;
} // namespace chervilbend::state

namespace chervilbend::node
{

class endpoint_directory;

/// Tells the traffic director which endpoints there are, what each of them serves, and how loaded they are, and keeps their addresses.
///
/// An engine serves the items that it reports as loaded, except those that the replicated state shows as dropping: these get no new
/// work before the unload is sent. While the declared version of an item is loaded nowhere, endpoints with another version of it serve
/// its pool, so that a change of version leaves no time without an answer.
class routing_feed : public control::host_listener, public control::report_listener
{
public:
    /// References must outlive the feed. @p crossZoneRoundTripMs is added to the expected wait at endpoints in other zones.
    routing_feed(routing::traffic_director &director,
                 endpoint_directory &directory,
                 const state::replicated_state &state,
                 base::zone_id ownZone,
                 double crossZoneRoundTripMs);

    /// Commands.

    void hostsChanged(const std::vector<external::host_entry> &hosts) override;
    void reportArrived(const base::endpoint_id &endpoint, const external::engine_report &report) override;
    void reportMissed(const base::endpoint_id &endpoint, int times) override;
    /// Call after the replicated state has changed.
    void stateChanged();
    /// Called after each change of the director's endpoints, so that waiting requests are looked at again.
    void onChange(std::function<void()> changed);

private:
    struct known_endpoint {
        external::host_entry host;
        std::optional<external::engine_report> report;
    };

    void updateAll();
    void update(const base::endpoint_id &endpoint);
    void refreshDeclared();
    /// Finds out which declared items no endpoint serves. True when this has changed.
    bool refreshUnserved();
    bool serves(const known_endpoint &known, const external::resident_item &resident) const;
    void notify() const;

    routing::traffic_director &m_director;
    endpoint_directory &m_directory;
    const state::replicated_state &m_state;
    base::zone_id m_ownZone;
    double m_crossZoneRoundTripMs;
    std::map<base::endpoint_id, known_endpoint> m_endpoints;
    /// Versions of the services that m_served was made from.
    std::vector<std::pair<base::service_id, base::log_offset>> m_versions;
    /// Whether an endpoint serves the item, for all declared items.
    std::unordered_map<base::item_id, bool> m_served;
    /// Declared items that no endpoint serves in their version, by name.
    std::map<std::string, base::item_id> m_unserved;
    std::function<void()> m_changed;
};

} // namespace chervilbend::node
