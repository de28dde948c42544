#include <chervilbend/state/internal/lease_table.hpp>

#include <algorithm>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

/// After this time a replaced host does not return with the same node id and incarnation. Until then the record of its end is needed to
/// lift quarantines.
constexpr base::milliseconds silentNodeRetention{24 * 3'600'000};

} // namespace

lease_table::result lease_table::apply(const lease_entry &lease, const record_context &context)
{
    const bool isRelease = lease.action == lease_action::release;
    const auto current = m_leases.find(lease.name);
    const base::log_offset currentBase = current == m_leases.end() ? base::log_offset(0) : current->second.token;
    if (lease.name.empty() || lease.base != currentBase || (!isRelease && lease.holder.empty())) {
        return {};
    }
    result applied{true, std::nullopt};
    const lease_view next = isRelease ? lease_view{{}, {}, context.offset} : lease_view{lease.holder, lease.incarnation, context.offset};
    if (current != m_leases.end()) {
        const lease_view &former = current->second;
        if (!former.holder.empty() && (former.holder != next.holder || former.incarnation != next.incarnation)) {
            applied.lost = lost_lease{lease.name, former.holder, former.incarnation};
        }
    }
    m_leases[lease.name] = next;
    if (lease.action == lease_action::acquire) {
        endIncarnationsBelow(lease.holder, lease.incarnation, context);
    }
    return applied;
}

bool lease_table::apply(const heartbeat_entry &heartbeat, const record_context &context)
{
    if (heartbeat.node.empty() || hasEnded(heartbeat.node, heartbeat.incarnation)) {
        return false;
    }
    endIncarnationsBelow(heartbeat.node, heartbeat.incarnation, context);
    m_heartbeats[heartbeat.node] = {heartbeat.incarnation, heartbeat.appliedOffset, heartbeat.commandsOutstanding, heartbeat.sentAt, context.offset};
    return true;
}

void lease_table::apply(const incarnation_ended_entry &ended, const record_context &context)
{
    endIncarnationsBelow(ended.node, base::incarnation(ended.incarnation.count() + 1), context);
}

void lease_table::endIncarnationsBelow(const base::node_id &node, base::incarnation incarnation, const record_context &context)
{
    ended_incarnations &end = m_endedIncarnations[node];
    end.firstLive = std::max(end.firstLive, incarnation);
    end.time = std::max(end.time, context.time);
    if (const auto heartbeat = m_heartbeats.find(node); heartbeat != m_heartbeats.end() && heartbeat->second.incarnation < end.firstLive) {
        m_heartbeats.erase(heartbeat);
    }
    removeSilentNodes(context.time);
}

void lease_table::removeSilentNodes(base::milliseconds now)
{
    std::erase_if(m_endedIncarnations, [&](const auto &each) {
        const bool isSilent = each.second.time + silentNodeRetention < now;
        if (isSilent) {
            m_heartbeats.erase(each.first);
        }
        return isSilent;
    });
}

const std::map<base::lease_name, lease_view> &lease_table::leases() const
{
    return m_leases;
}

const std::map<base::node_id, heartbeat_view> &lease_table::heartbeats() const
{
    return m_heartbeats;
}

base::log_offset lease_table::token(const base::lease_name &name) const
{
    const auto found = m_leases.find(name);
    return found == m_leases.end() || found->second.holder.empty() ? base::log_offset(0) : found->second.token;
}

bool lease_table::hasEnded(const base::node_id &node, base::incarnation incarnation) const
{
    const auto found = m_endedIncarnations.find(node);
    return found != m_endedIncarnations.end() && incarnation < found->second.firstLive;
}

void lease_table::remove(const base::lease_name &name)
{
    m_leases.erase(name);
}

json::object lease_table::toJson() const
{
    json::array leases;
    for (const auto &[name, lease] : m_leases) {
        leases.emplace_back(
            json::object{{"name", name.value()}, {"node", lease.holder.value()}, {"life", lease.incarnation.count()}, {"token", lease.token.count()}});
    }
    json::array heartbeats;
    for (const auto &[node, last] : m_heartbeats) {
        heartbeats.emplace_back(json::object{{"node", node.value()},
                                             {"life", last.incarnation.count()},
                                             {"folded", last.appliedOffset.count()},
                                             {"outstanding", last.commandsOutstanding},
                                             {"sentAt", last.sentAt.count()},
                                             {"record", last.record.count()}});
    }
    json::array ends;
    for (const auto &[node, end] : m_endedIncarnations) {
        ends.emplace_back(json::object{{"node", node.value()}, {"life", end.firstLive.count()}, {"time", end.time.count()}});
    }
    return {{"leases", std::move(leases)}, {"heartbeats", std::move(heartbeats)}, {"ends", std::move(ends)}};
}

void lease_table::restore(field_reader &fields)
{
    bool ok = true;
    for (const json::value &each : fields.array("leases")) {
        field_reader item(each);
        base::lease_name name;
        item.read("name", name);
        lease_view &lease = m_leases[name];
        item.read("node", lease.holder);
        item.read("life", lease.incarnation);
        item.read("token", lease.token);
        ok = ok && item.isOk();
    }
    for (const json::value &each : fields.array("heartbeats")) {
        field_reader item(each);
        base::node_id node;
        item.read("node", node);
        heartbeat_view &last = m_heartbeats[node];
        item.read("life", last.incarnation);
        item.read("folded", last.appliedOffset);
        item.read("outstanding", last.commandsOutstanding);
        item.read("sentAt", last.sentAt);
        item.read("record", last.record);
        ok = ok && item.isOk();
    }
    for (const json::value &each : fields.array("ends")) {
        field_reader item(each);
        base::node_id node;
        item.read("node", node);
        ended_incarnations &end = m_endedIncarnations[node];
        item.read("life", end.firstLive);
        item.read("time", end.time);
        ok = ok && item.isOk();
    }
    if (!ok) {
        fields.fail();
    }
}

} // namespace chervilbend::state
