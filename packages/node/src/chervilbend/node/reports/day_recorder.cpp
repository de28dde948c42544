#include <chervilbend/node/reports/day_recorder.hpp>

#include <chervilbend/config/model_declaration.hpp>
#include <chervilbend/node/reports/day_counters.hpp>

#include <utility>

namespace chervilbend::node
{

namespace
{

constexpr std::string_view servicePrefix = "service/";
/// Time that the models of a new version have to load before their absence counts as a failure.
constexpr base::milliseconds loadGracePeriod{60'000};

} // namespace

day_recorder::day_recorder(const base::node_id &self, base::incarnation incarnation, const state::replicated_state &state)
    : m_self(self)
    , m_state(state)
    , m_counters(self, incarnation)
{
}

void day_recorder::requestEnded(const routing::request_facts &facts, request_result result, std::optional<base::error_kind> refusal)
{
    const std::string service = serviceOf(facts.pool);
    m_counters.add(requestCounter(service, facts.urgency, result));
    if (refusal) {
        m_counters.add(refusalCounter(service, *refusal));
    }
}

void day_recorder::orderEnded(const std::string &route, base::run_state state)
{
    m_counters.add(orderCounter(route.substr(0, route.find('/')), state));
}

void day_recorder::publishSubmitted(const std::string &publishId)
{
    m_pendingPublishes.insert(publishId);
}

void day_recorder::componentFailed(const std::string &component, base::milliseconds duration)
{
    m_counters.add(failureCounter(component), duration.count());
}

void day_recorder::nodeLost(const base::node_id &node)
{
    m_counters.add(lostCounter(node.value()));
}

void day_recorder::observeState(base::milliseconds sinceLast)
{
    observePublishes();
    observeResidencies();
    observeUnloadedModels(sinceLast);
}

std::vector<state::minute_counts_entry> day_recorder::takeCompleted()
{
    return m_counters.takeCompleted();
}

std::vector<state::minute_counts_entry> day_recorder::takeRemaining()
{
    return m_counters.takeRemaining();
}

std::string day_recorder::serviceOf(const std::string &pool)
{
    if (pool.starts_with(servicePrefix)) {
        return pool.substr(servicePrefix.size());
    }
    std::vector<base::log_offset> versions;
    for (const auto &[service, view] : m_state.services()) {
        versions.push_back(view.version);
    }
    if (versions != m_versions) {
        m_versions = std::move(versions);
        m_serviceByItem.clear();
        for (const auto &[service, view] : m_state.services()) {
            for (const config::model_declaration &model : view.declaration.models) {
                m_serviceByItem[config::itemOf(model).value()] = service.value();
            }
        }
    }
    const auto found = m_serviceByItem.find(config::baseItemOf(base::item_id(pool)).value());
    return found == m_serviceByItem.end() ? "withdrawn" : found->second;
}

void day_recorder::observePublishes()
{
    for (auto id = m_pendingPublishes.begin(); id != m_pendingPublishes.end();) {
        const state::publish_view *decided = m_state.publish(*id);
        if (!decided) {
            ++id;
            continue;
        }
        m_counters.add(configCounter(decided->service.value(), decided->accepted));
        id = m_pendingPublishes.erase(id);
    }
}

void day_recorder::observeResidencies()
{
    const base::time_point now = base::clock::now();
    std::map<placed_item, item_residency> currentResidencies;
    for (const auto &[endpoint, view] : m_state.endpoints()) {
        const bool isOwner = owns(endpoint);
        for (const auto &[item, residency] : view.items) {
            const placed_item key(endpoint, item);
            const auto found = m_residencies.find(key);
            item_residency current{now, residency.state, residency.bytes, isOwner};
            if (found != m_residencies.end()) {
                const bool isLoaded = found->second.state == state::residency::assigned && residency.state == state::residency::loaded;
                // The owner at the previous observation counts the load, as for unloads: a new owner that had already seen the item as
                // assigned would count it again.
                if (isLoaded && found->second.isOwner) {
                    m_counters.add(loadsCounter);
                    m_counters.add(loadedBytesCounter, residency.bytes.count());
                    m_counters.add(loadTimeCounter, (now - found->second.since).count());
                }
                current.since = found->second.state == residency.state ? found->second.since : now;
            }
            currentResidencies.emplace(key, current);
        }
    }
    for (const auto &[key, previous] : m_residencies) {
        if (previous.isOwner && previous.state == state::residency::dropping && !currentResidencies.contains(key)) {
            m_counters.add(unloadsCounter);
        }
    }
    m_residencies = std::move(currentResidencies);
}

void day_recorder::observeUnloadedModels(base::milliseconds sinceLast)
{
    std::set<base::item_id> loaded;
    for (const auto &[endpoint, view] : m_state.endpoints()) {
        for (const auto &[item, residency] : view.items) {
            if (residency.state == state::residency::loaded) {
                loaded.insert(item);
            }
        }
    }
    for (const auto &[service, view] : m_state.services()) {
        if (!isGracePeriodOver(service, view.version)) {
            continue;
        }
        for (const config::model_declaration &model : view.declaration.models) {
            if (!loaded.contains(config::itemOf(model))) {
                componentFailed("model " + model.name, sinceLast);
            }
        }
    }
}

bool day_recorder::isGracePeriodOver(const base::service_id &service, base::log_offset version)
{
    const base::time_point now = base::clock::now();
    auto &[seenVersion, seenAt] = m_versionSeen.try_emplace(service, version, now).first->second;
    if (seenVersion != version) {
        seenVersion = version;
        seenAt = now;
    }
    return now - seenAt > loadGracePeriod;
}

bool day_recorder::owns(const base::endpoint_id &endpoint) const
{
    const auto lease = m_state.leases().find(state::endpointLease(endpoint));
    return lease != m_state.leases().end() && lease->second.holder == m_self;
}

} // namespace chervilbend::node
