#include <chervilbend/node/operators/state_operator_view.hpp>

#include <chervilbend/config/concat.hpp>

#include <algorithm>

namespace chervilbend::node
{

state_operator_view::state_operator_view(const state::replicated_state &state, const declaration_cache &declarationCache, const node_info &nodeInfo)
    : m_state(state)
    , m_declarationCache(declarationCache)
    , m_nodeInfo(nodeInfo)
{
}

base::log_offset state_operator_view::appliedOffset() const
{
    return m_state.appliedOffset();
}

const std::map<base::service_id, state::service_view> &state_operator_view::services() const
{
    return m_state.services();
}

const std::map<base::lease_name, state::lease_view> &state_operator_view::leases() const
{
    return m_state.leases();
}

const std::map<base::endpoint_id, state::endpoint_view> &state_operator_view::endpoints() const
{
    return m_state.endpoints();
}

std::optional<publish_record> state_operator_view::findPublish(const std::string &publishId) const
{
    const state::publish_view *publish = m_state.publish(publishId);
    if (publish) {
        for (publish_record &record : publishes(publish->service)) {
            if (record.publishId == publishId) {
                return std::move(record);
            }
        }
    }
    // The state drops old publishes while the versions that they created are still in force.
    for (const auto &[id, service] : m_state.services()) {
        if (service.publishId == publishId) {
            return publish_record{publishId, service.author, id, service.declaration, base::log_offset(0), service.version, true, {}, base::log_offset(0)};
        }
    }
    return std::nullopt;
}

std::vector<publish_record> state_operator_view::publishes(const base::service_id &service) const
{
    std::vector<publish_record> records;
    const state::publish_view *inForce = nullptr;
    for (const state::publish_view &publish : m_state.publishes()) {
        if (publish.service != service) {
            continue;
        }
        records.push_back(recordOf(publish, inForce));
        if (publish.accepted) {
            inForce = &publish;
        }
    }
    return records;
}

std::vector<publish_record> state_operator_view::withdrawals() const
{
    std::map<base::service_id, const state::publish_view *> last;
    for (const state::publish_view &publish : m_state.publishes()) {
        if (publish.accepted && !m_state.services().contains(publish.service)) {
            last[publish.service] = &publish;
        }
    }
    std::vector<publish_record> records;
    records.reserve(last.size());
    for (const auto &[service, publish] : last) {
        records.push_back(recordOf(*publish, nullptr));
    }
    return records;
}

base::node_id state_operator_view::self() const
{
    return m_nodeInfo.self();
}

log_status state_operator_view::log() const
{
    return m_nodeInfo.log();
}

std::vector<known_node> state_operator_view::nodes() const
{
    return m_nodeInfo.nodes();
}

publish_record state_operator_view::recordOf(const state::publish_view &publish, const state::publish_view *inForce) const
{
    publish_record record;
    record.publishId = publish.publishId;
    record.author = publish.author;
    record.service = publish.service;
    record.declaration = m_declarationCache.find(publish.publishId);
    const auto current = m_state.services().find(publish.service);
    if (!record.declaration && current != m_state.services().end() && current->second.version == publish.record) {
        record.declaration = current->second.declaration;
    }
    record.base = publish.base;
    record.offset = publish.record;
    record.accepted = publish.accepted;
    if (!publish.accepted) {
        record.winner = inForce ? inForce->record : base::log_offset(0);
        const std::string base = std::to_string(publish.base.count());
        record.why = inForce ? config::concat(
                         {"version ", std::to_string(inForce->record.count()), " by ", inForce->author, " was accepted first, this publish builds on ", base})
                             : config::concat({"it builds on version ", base, ", which was not in force"});
    }
    return record;
}

} // namespace chervilbend::node
