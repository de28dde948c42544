#include <chervilbend/node/routing_feed.hpp>

#include <chervilbend/config/model_declaration.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/routing/traffic_director.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::node
{

namespace
{

/// Number of consecutive missed polls after which an engine's last report is discarded, so that it no longer serves any item.
constexpr int missedPollsUntilUnknown = 5;

std::optional<state::residency> residencyOf(const state::replicated_state &state, const base::endpoint_id &endpoint, const base::item_id &item)
{
    const auto view = state.endpoints().find(endpoint);
    if (view == state.endpoints().end()) {
        return std::nullopt;
    }
    const auto residency = view->second.items.find(item);
    return residency == view->second.items.end() ? std::nullopt : std::optional(residency->second.state);
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

void routing_feed::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    std::map<base::endpoint_id, known_endpoint> kept;
    for (const external::host_entry &host : hosts) {
        if (host.kind == external::host_kind::node) {
            continue;
        }
        const base::endpoint_id endpoint(host.id);
        kept[endpoint].host = host;
        const auto known = m_endpoints.find(endpoint);
        if (known != m_endpoints.end() && known->second.host.address == host.address) {
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
    refreshUnservedItems();
    updateAll();
    notify();
}

void routing_feed::reportArrived(const base::endpoint_id &endpoint, const external::engine_report &report)
{
    const auto known = m_endpoints.find(endpoint);
    if (known == m_endpoints.end()) {
        return;
    }
    known->second.report = report;
    if (refreshUnservedItems()) {
        updateAll();
    } else {
        update(endpoint);
    }
    m_director.setReport(endpoint, {report.running, report.queued, report.lag, report.incarnation.count()});
    notify();
}

void routing_feed::reportMissed(const base::endpoint_id &endpoint, int times)
{
    const auto known = m_endpoints.find(endpoint);
    if (known == m_endpoints.end() || times != missedPollsUntilUnknown) {
        return;
    }
    known->second.report.reset();
    refreshUnservedItems();
    updateAll();
}

void routing_feed::stateChanged()
{
    refreshUnservedItems();
    updateAll();
    notify();
}

void routing_feed::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void routing_feed::updateAll()
{
    for (const auto &[endpoint, known] : m_endpoints) {
        update(endpoint);
    }
}

void routing_feed::refreshDeclaredItems()
{
    const auto &services = m_state.services();
    const auto sameVersion = [](const auto &known, const auto &current) {
        return known.first == current.first && known.second == current.second.version;
    };
    if (std::equal(m_serviceVersions.begin(), m_serviceVersions.end(), services.begin(), services.end(), sameVersion)) {
        return;
    }
    m_serviceVersions.clear();
    m_isServed.clear();
    for (const auto &[id, service] : services) {
        m_serviceVersions.emplace_back(id, service.version);
        for (const config::model_declaration &model : service.declaration.models) {
            m_isServed.emplace(itemOf(model), false);
            for (const config::adapter_declaration &adapter : model.adapters) {
                m_isServed.emplace(itemOf(model, adapter), false);
            }
        }
    }
}

bool routing_feed::refreshUnservedItems()
{
    refreshDeclaredItems();
    for (auto &[item, isServed] : m_isServed) {
        isServed = false;
    }
    for (const auto &[endpoint, known] : m_endpoints) {
        if (!known.report || known.host.draining) {
            continue;
        }
        for (const external::resident_item &resident : known.report->items) {
            const auto found = m_isServed.find(resident.item);
            if (found != m_isServed.end() && !found->second) {
                found->second = serves(known, resident);
            }
        }
    }
    std::map<std::string, base::item_id> unserved;
    for (const auto &[item, isServed] : m_isServed) {
        if (!isServed) {
            unserved.emplace(config::nameOf(item), item);
        }
    }
    const bool changed = unserved != m_unservedItems;
    m_unservedItems = std::move(unserved);
    return changed;
}

bool routing_feed::serves(const known_endpoint &known, const external::resident_item &resident) const
{
    const std::optional<state::residency> residency = residencyOf(m_state, base::endpoint_id(known.host.id), resident.item);
    if (residency == state::residency::dropping) {
        return false;
    }
    // The endpoint's owner may have recorded the end of the load before this node has received the engine's next report.
    return resident.loaded || residency == state::residency::loaded;
}

void routing_feed::update(const base::endpoint_id &endpoint)
{
    const known_endpoint &known = m_endpoints.at(endpoint);
    routing::endpoint_facts facts;
    facts.endpoint = endpoint;
    facts.zone = known.host.zone;
    facts.draining = known.host.draining;
    facts.zoneRoundTripMs = known.host.zone == m_ownZone ? 0 : m_crossZoneRoundTripMs;
    if (known.host.kind == external::host_kind::plainService) {
        facts.pools.insert("service/" + known.host.service.value());
    } else if (known.report) {
        for (const external::resident_item &resident : known.report->items) {
            if (!serves(known, resident)) {
                continue;
            }
            facts.pools.insert(resident.item.value());
            // Items are compared by name only while some declared item is not served, because this lookup is the most expensive step.
            const auto unserved = m_unservedItems.empty() ? m_unservedItems.end() : m_unservedItems.find(config::nameOf(resident.item));
            if (unserved != m_unservedItems.end()) {
                facts.pools.insert(unserved->second.value());
            }
        }
    }
    m_directory.set(endpoint, known.host.address);
    m_director.setEndpoint(facts);
}

void routing_feed::notify() const
{
    if (m_listener) {
        m_listener();
    }
}

} // namespace chervilbend::node
