#include <chervilbend/node/reports/day_recorder.hpp>

#include <chervilbend/config/model_declaration.hpp>
#include <chervilbend/node/reports/day_counters.hpp>

#include <utility>

namespace chervilbend::node
{

namespace
{

constexpr std::string_view servicePrefix = "service/";
/// A change's models may take so long to load before their absence counts as a failure.
constexpr base::milliseconds firstLoadTime{60'000};

} // namespace

day_recorder::day_recorder(const base::node_id &self, base::incarnation life, const state::replicated_state &state)
    : m_self(self)
    , m_state(state)
    , m_tally(self, life)
{
}

void day_recorder::workEnded(const routing::request_facts &facts, request_result end, std::optional<base::error_kind> refusal)
{
    const std::string service = serviceOf(facts.pool);
    m_tally.add(requestCounter(service, facts.urgency, end));
    if (refusal) {
        m_tally.add(refusalCounter(service, *refusal));
    }
}

void day_recorder::orderEnded(const std::string &route, base::run_state state)
{
    m_tally.add(orderCounter(route.substr(0, route.find('/')), state));
}

void day_recorder::publishSubmitted(const std::string &publishId)
{
    m_openPublishes.insert(publishId);
}

void day_recorder::componentFailed(const std::string &component, base::milliseconds duration)
{
    m_tally.add(failureCounter(component), duration.count());
}

void day_recorder::nodeLost(const base::node_id &node)
{
    m_tally.add(lostCounter(node.value()));
}

void day_recorder::observeState(base::milliseconds sinceLast)
{
    observePublishes();
    observeMoves();
    observeReachability(sinceLast);
}

std::vector<state::minute_counts_entry> day_recorder::takeCompleted()
{
    return m_tally.takeCompleted();
}

std::vector<state::minute_counts_entry> day_recorder::takeRemaining()
{
    return m_tally.takeRemaining();
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
    const auto known = m_serviceByItem.find(config::baseItemOf(base::item_id(pool)).value());
    return known == m_serviceByItem.end() ? "withdrawn" : known->second;
}

void day_recorder::observePublishes()
{
    for (auto id = m_openPublishes.begin(); id != m_openPublishes.end();) {
        const state::publish_view *decided = m_state.publish(*id);
        if (!decided) {
            ++id;
            continue;
        }
        m_tally.add(configCounter(decided->service.value(), decided->accepted));
        id = m_openPublishes.erase(id);
    }
}

void day_recorder::observeMoves()
{
    const base::time_point now = base::clock::now();
    std::map<placed_item, move> present;
    for (const auto &[endpoint, view] : m_state.endpoints()) {
        const bool own = owns(endpoint);
        for (const auto &[item, residency] : view.items) {
            const placed_item key(endpoint, item);
            const auto known = m_moves.find(key);
            move current{now, residency.state, residency.bytes, own};
            if (known != m_moves.end()) {
                const bool arrived = known->second.state == state::residency::assigned && residency.state == state::residency::loaded;
                // The owner at the last observation counts, as for unloads: a new owner that saw the item assigned before would count it again.
                if (arrived && known->second.own) {
                    m_tally.add(loadsCounter);
                    m_tally.add(loadedBytesCounter, residency.bytes.count());
                    m_tally.add(loadTimeCounter, (now - known->second.since).count());
                }
                current.since = known->second.state == residency.state ? known->second.since : now;
            }
            present.emplace(key, current);
        }
    }
    for (const auto &[key, former] : m_moves) {
        if (former.own && former.state == state::residency::dropping && !present.contains(key)) {
            m_tally.add(unloadsCounter);
        }
    }
    m_moves = std::move(present);
}

void day_recorder::observeReachability(base::milliseconds sinceLast)
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
        if (!isSettled(service, view.version)) {
            continue;
        }
        for (const config::model_declaration &model : view.declaration.models) {
            if (!loaded.contains(config::itemOf(model))) {
                componentFailed("model " + model.name, sinceLast);
            }
        }
    }
}

bool day_recorder::isSettled(const base::service_id &service, base::log_offset version)
{
    const base::time_point now = base::clock::now();
    auto &[seenVersion, seenAt] = m_versionSeen.try_emplace(service, version, now).first->second;
    if (seenVersion != version) {
        seenVersion = version;
        seenAt = now;
    }
    return now - seenAt > firstLoadTime;
}

bool day_recorder::owns(const base::endpoint_id &endpoint) const
{
    const auto lease = m_state.leases().find(state::endpointLease(endpoint));
    return lease != m_state.leases().end() && lease->second.holder == m_self;
}

} // namespace chervilbend::node
