#include <chervilbend/node/routing_feed.hpp>

#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/routing/traffic_director.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <utility>

namespace chervilbend::node
{

namespace
{

/// Polls that an engine may miss before its last report no longer says what it serves.
constexpr int missesUntilUnknown = 5;

bool isDropping(const state::replicated_state &state, const base::endpoint_id &endpoint, const base::item_id &item)
{
    const auto view = state.endpoints().find(endpoint);
    if (view == state.endpoints().end()) {
        return false;
    }
    const auto residency = view->second.items.find(item);
    return residency != view->second.items.end() && residency->second.state == state::residency::dropping;
}

} // namespace

routing_feed::routing_feed(routing::traffic_director &director,
                           endpoint_directory &directory,
                           const state::replicated_state &state,
                           base::zone_id ownZone,
                           double crossZoneRoundTripMs)
    : m_director(director)
    , m_directory(directory)
    , m_state(state)
    , m_ownZone(std::move(ownZone))
    , m_crossZoneRoundTripMs(crossZoneRoundTripMs)
{
}

void routing_feed::hostsChanged(const std::vector<platform::host_entry> &hosts)
{
    std::map<base::endpoint_id, known_endpoint> kept;
    for (const platform::host_entry &host : hosts) {
        if (host.kind == platform::host_kind::node) {
            continue;
        }
        const base::endpoint_id endpoint(host.id);
        kept[endpoint].host = host;
        const auto known = m_endpoints.find(endpoint);
        if (known != m_endpoints.end() && known->second.host.where == host.where) {
            kept[endpoint].report = std::move(known->second.report);
        }
    }
    for (const auto &[endpoint, known] : m_endpoints) {
        if (!kept.contains(endpoint)) {
            m_director.removeEndpoint(endpoint);
            m_directory.remove(endpoint);
        }
    }
    m_endpoints = std::move(kept);
    for (const auto &[endpoint, known] : m_endpoints) {
        update(endpoint);
    }
    notify();
}

void routing_feed::reportArrived(const base::endpoint_id &endpoint, const platform::engine_report &report)
{
    const auto known = m_endpoints.find(endpoint);
    if (known == m_endpoints.end()) {
        return;
    }
    known->second.report = report;
    update(endpoint);
    m_director.setReport(endpoint, {report.running, report.queued, report.lag, report.life.count()});
    notify();
}

void routing_feed::reportMissed(const base::endpoint_id &endpoint, int times)
{
    const auto known = m_endpoints.find(endpoint);
    if (known == m_endpoints.end() || times != missesUntilUnknown) {
        return;
    }
    known->second.report.reset();
    update(endpoint);
}

void routing_feed::stateChanged()
{
    for (const auto &[endpoint, known] : m_endpoints) {
        update(endpoint);
    }
    notify();
}

void routing_feed::onChange(std::function<void()> changed)
{
    m_changed = std::move(changed);
}

void routing_feed::update(const base::endpoint_id &endpoint)
{
    const known_endpoint &known = m_endpoints.at(endpoint);
    routing::endpoint_facts facts;
    facts.endpoint = endpoint;
    facts.zone = known.host.zone;
    facts.leaving = known.host.leaving;
    facts.zoneDistanceMs = known.host.zone == m_ownZone ? 0 : m_crossZoneRoundTripMs;
    if (known.host.kind == platform::host_kind::plainService) {
        facts.pools.insert("service/" + known.host.service.value());
    } else if (known.report) {
        for (const platform::resident_item &resident : known.report->items) {
            if (resident.loaded && !isDropping(m_state, endpoint, resident.item)) {
                facts.pools.insert(resident.item.value());
            }
        }
    }
    m_directory.set(endpoint, known.host.where);
    m_director.setEndpoint(facts);
}

void routing_feed::notify() const
{
    if (m_changed) {
        m_changed();
    }
}

} // namespace chervilbend::node
