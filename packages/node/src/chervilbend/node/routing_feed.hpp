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

/// Updates the traffic director and the endpoint directory from the host list, the engines' reports and the replicated state: which
/// endpoints exist, what each of them serves, their load, and their addresses.
///
/// An engine serves the items that it reports as loaded, except those that the replicated state shows as dropping: these get no new
/// requests, already before the unload command is sent. While the declared version of an item is not loaded anywhere, endpoints that hold
/// another version of it serve its pool, so that requests can be served throughout a version change.
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
    /// To be called after each change of the replicated state.
    void stateChanged();
    /// Sets the function that is called after each change of the director's endpoints, so that queued requests are considered again.
    void onChange(std::function<void()> listener);

private:
    struct known_endpoint {
        external::host_entry host;
        std::optional<external::engine_report> report;
    };

    void updateAll();
    void update(const base::endpoint_id &endpoint);
    void refreshDeclaredItems();
    /// Determines which declared items are not served by any endpoint. Returns true if this has changed.
    bool refreshUnservedItems();
    bool serves(const known_endpoint &known, const external::resident_item &resident) const;
    void notify() const;

    routing::traffic_director &m_director;
    endpoint_directory &m_directory;
    const state::replicated_state &m_state;
    base::zone_id m_ownZone;
    double m_crossZoneRoundTripMs;
    std::map<base::endpoint_id, known_endpoint> m_endpoints;
    /// Service versions from which m_isServed was built.
    std::vector<std::pair<base::service_id, base::log_offset>> m_serviceVersions;
    /// Whether any endpoint serves the item, for all declared items.
    std::unordered_map<base::item_id, bool> m_isServed;
    /// Declared items whose declared version is not served by any endpoint, by name without version.
    std::map<std::string, base::item_id> m_unservedItems;
    std::function<void()> m_listener;
};

} // namespace chervilbend::node
