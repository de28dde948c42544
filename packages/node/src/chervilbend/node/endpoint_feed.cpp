#include <chervilbend/node/endpoint_feed.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/pool_name.hpp>
#include <chervilbend/fleet/published_versions.hpp>
#include <chervilbend/fleet/residency_view.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <utility>

namespace chervilbend::node
{

namespace
{

const log4cxx::LoggerPtr &endpointLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("endpoints");
    return logger;
}

} // namespace

endpoint_feed::endpoint_feed(routing::traffic_director &director,
                             endpoint_directory &directory,
                             const fleet::endpoint_registry &registry,
                             const fleet::residency_view &residency,
                             const fleet::published_versions &versions,
                             base::zone_id ownZone,
                             double crossZoneRoundTripMs)
    : m_director(director)
    , m_directory(directory)
    , m_registry(registry)
    , m_residency(residency)
    , m_versions(versions)
    , m_ownZone(std::move(ownZone))
    , m_crossZoneRoundTripMs(crossZoneRoundTripMs)
{
}

void endpoint_feed::onChange(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void endpoint_feed::update(const std::set<base::endpoint_id> &changed)
{
    for (const base::endpoint_id &id : changed) {
        updateOne(id);
    }
    if (m_listener && !changed.empty()) {
        m_listener();
    }
}

void endpoint_feed::updateAll()
{
    std::set<base::endpoint_id> all;
    for (const auto &[id, known] : m_registry.endpoints()) {
        all.insert(id);
    }
    update(all);
}

void endpoint_feed::updateOne(const base::endpoint_id &id)
{
    const auto found = m_registry.endpoints().find(id);
    const auto knownStart = m_startTimes.find(id);
    const bool hasRestarted = found != m_registry.endpoints().end() && knownStart != m_startTimes.end() && knownStart->second != found->second.entry.startedAt;
    if (knownStart != m_startTimes.end() && (found == m_registry.endpoints().end() || hasRestarted)) {
        LOG4CXX_INFO(endpointLog(), base::log_event("endpointGone").with("endpoint", id.value()).with("restarted", hasRestarted).text());
        m_director.removeEndpoint(id);
        m_directory.remove(id);
        m_startTimes.erase(knownStart);
    }
    if (found == m_registry.endpoints().end()) {
        return;
    }
    const fleet::endpoint_entry &entry = found->second.entry;
    if (!m_startTimes.contains(id) && !m_versions.isUsable(entry)) {
        return;
    }
    if (!m_startTimes.contains(id)) {
        LOG4CXX_INFO(endpointLog(),
                     base::log_event("endpointKnown")
                         .with("endpoint", id.value())
                         .with("service", entry.service.value())
                         .with("zone", entry.zone.value())
                         .with("software", entry.softwareVersion.value())
                         .with("draining", entry.draining)
                         .text());
    }
    routing::endpoint_facts facts;
    facts.endpoint = id;
    facts.startedAt = entry.startedAt;
    facts.softwareVersion = entry.softwareVersion;
    facts.zone = entry.zone;
    facts.draining = entry.draining;
    facts.zoneRoundTripMs = entry.zone == m_ownZone ? 0 : m_crossZoneRoundTripMs;
    facts.slots = entry.slots;
    facts.pools.insert(entry.service.value());
    for (const fleet::resident_model &model : m_residency.modelsAt(id)) {
        facts.pools.insert(fleet::poolName(entry.service, model.name, {}));
        for (const std::string &adapter : model.adapters) {
            facts.pools.insert(fleet::poolName(entry.service, model.name, adapter));
        }
    }
    m_startTimes[id] = entry.startedAt;
    m_directory.set(id, entry.address);
    m_director.setEndpoint(facts);
}

} // namespace chervilbend::node
