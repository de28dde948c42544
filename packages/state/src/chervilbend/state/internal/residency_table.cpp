#include <chervilbend/state/internal/residency_table.hpp>

#include <chervilbend/state/internal/residency_json.hpp>

#include <boost/json/array.hpp>

#include <algorithm>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

/// Longer than a host can be absent from the host list and return with its engine still running.
constexpr base::milliseconds departedRetention{24 * 3'600'000};

} // namespace

bool residency_table::apply(const endpoint_entry &endpoint, const record_context &context)
{
    const auto present = m_endpoints.find(endpoint.endpoint);
    if (endpoint.endpoint.empty() || endpoint.memory < base::byte_count(0)) {
        return false;
    }
    if (endpoint.removed) {
        if (present == m_endpoints.end()) {
            return false;
        }
        m_departed[endpoint.endpoint] = {std::move(present->second), context.time};
        m_endpoints.erase(present);
        return true;
    }
    endpoint_view &view = m_endpoints[endpoint.endpoint];
    if (auto departed = m_departed.extract(endpoint.endpoint)) {
        view = std::move(departed.mapped().view);
        for (auto &[id, item] : view.items) {
            item.state = residency::dropping;
            item.since = context.offset;
        }
    }
    view.address = endpoint.address;
    view.zone = endpoint.zone;
    view.memory = endpoint.memory;
    view.checksFencing = endpoint.checksFencing;
    return true;
}

bool residency_table::apply(const assign_entry &assign, const record_context &context)
{
    const auto endpoint = m_endpoints.find(assign.endpoint);
    if (endpoint == m_endpoints.end() || assign.item.empty() || assign.bytes < base::byte_count(0)) {
        return false;
    }
    endpoint_view &view = endpoint->second;
    // Uses a subtraction because the sum could overflow if the numbers are corrupt.
    if (view.items.contains(assign.item) || assign.bytes > view.memory - view.reserved) {
        return false;
    }
    view.items[assign.item] = {residency::assigned, assign.bytes, context.offset, {}};
    view.reserved += assign.bytes;
    return true;
}

residency_view *residency_table::find(const base::endpoint_id &endpoint, const base::item_id &item)
{
    const auto holder = m_endpoints.find(endpoint);
    if (holder == m_endpoints.end()) {
        return nullptr;
    }
    const auto found = holder->second.items.find(item);
    return found == holder->second.items.end() ? nullptr : &found->second;
}

bool residency_table::apply(const loaded_entry &loaded, const record_context &context)
{
    residency_view *item = find(loaded.endpoint, loaded.item);
    if (!item || item->state != (loaded.lost ? residency::loaded : residency::assigned)) {
        return false;
    }
    item->state = loaded.lost ? residency::assigned : residency::loaded;
    item->since = context.offset;
    return true;
}

bool residency_table::apply(const drop_entry &drop, bool mayDropLastCopy, const record_context &context)
{
    residency_view *item = find(drop.endpoint, drop.item);
    if (!item || item->state == residency::dropping) {
        return false;
    }
    // A copy that is not loaded serves no requests, so dropping it makes no model unavailable.
    if (item->state == residency::loaded && !mayDropLastCopy && !isLoadedElsewhere(drop.item, drop.endpoint)) {
        return false;
    }
    item->state = residency::dropping;
    item->since = context.offset;
    return true;
}

bool residency_table::apply(const released_entry &released)
{
    const residency_view *item = find(released.endpoint, released.item);
    if (!item || item->state != residency::dropping || !item->quarantine.empty()) {
        return false;
    }
    endpoint_view &view = m_endpoints[released.endpoint];
    view.reserved -= item->bytes;
    view.items.erase(released.item);
    return true;
}

bool residency_table::isLoadedElsewhere(const base::item_id &item, const base::endpoint_id &endpoint) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &each) {
        const auto found = each.second.items.find(item);
        return each.first != endpoint && found != each.second.items.end() && found->second.state == residency::loaded;
    });
}

void residency_table::quarantine(const base::endpoint_id &endpoint, const quarantine_view &formerOwner)
{
    const auto present = m_endpoints.find(endpoint);
    const auto departed = m_departed.find(endpoint);
    endpoint_view *view = present != m_endpoints.end() ? &present->second : departed != m_departed.end() ? &departed->second.view : nullptr;
    if (!view || view->checksFencing) {
        return;
    }
    m_mayHaveQuarantine = true;
    for (auto &[id, item] : view->items) {
        auto existing = std::find_if(item.quarantine.begin(), item.quarantine.end(), [&](const quarantine_view &each) {
            return each.node == formerOwner.node && each.incarnation == formerOwner.incarnation;
        });
        if (existing == item.quarantine.end()) {
            item.quarantine.push_back(formerOwner);
        } else {
            existing->lostAt = formerOwner.lostAt;
        }
    }
}

template<typename Condition>
void residency_table::liftQuarantines(Condition canLift)
{
    if (!m_mayHaveQuarantine) {
        return;
    }
    m_mayHaveQuarantine = false;
    const auto liftAtEndpoint = [&](endpoint_view &endpoint) {
        for (auto &[id, item] : endpoint.items) {
            std::erase_if(item.quarantine, canLift);
            m_mayHaveQuarantine = m_mayHaveQuarantine || !item.quarantine.empty();
        }
    };
    for (auto &[id, endpoint] : m_endpoints) {
        liftAtEndpoint(endpoint);
    }
    for (auto &[id, departed] : m_departed) {
        liftAtEndpoint(departed.view);
    }
}

void residency_table::liftQuarantinesBelow(const base::node_id &node, base::incarnation incarnation)
{
    liftQuarantines([&](const quarantine_view &each) { return each.node == node && each.incarnation < incarnation; });
}

void residency_table::liftQuarantines(const heartbeat_entry &heartbeat)
{
    if (!heartbeat.commandsOutstanding) {
        liftQuarantines([&](const quarantine_view &each) {
            return each.node == heartbeat.node && each.incarnation == heartbeat.incarnation && each.lostAt <= heartbeat.appliedOffset;
        });
    }
}

std::vector<base::endpoint_id> residency_table::removeExpiredEndpoints(base::milliseconds now)
{
    std::vector<base::endpoint_id> removedIds;
    std::erase_if(m_departed, [&](const auto &each) {
        const bool isExpired = each.second.since + departedRetention < now;
        if (isExpired) {
            removedIds.push_back(each.first);
        }
        return isExpired;
    });
    return removedIds;
}

const std::map<base::endpoint_id, endpoint_view> &residency_table::endpoints() const
{
    return m_endpoints;
}

json::object residency_table::toJson() const
{
    json::array endpoints;
    for (const auto &[id, endpoint] : m_endpoints) {
        endpoints.emplace_back(state::toJson(id, endpoint));
    }
    json::array departed;
    for (const auto &[id, each] : m_departed) {
        json::object target = state::toJson(id, each.view);
        target["departed"] = each.since.count();
        departed.emplace_back(std::move(target));
    }
    return {{"endpoints", std::move(endpoints)}, {"departed", std::move(departed)}};
}

void residency_table::restore(field_reader &fields)
{
    m_mayHaveQuarantine = true;
    bool ok = true;
    for (const json::value &each : fields.array("endpoints")) {
        field_reader item(each);
        base::endpoint_id id;
        endpoint_view view;
        readEndpoint(item, id, view);
        m_endpoints[id] = std::move(view);
        ok = ok && item.isOk();
    }
    for (const json::value &each : fields.array("departed")) {
        field_reader item(each);
        base::endpoint_id id;
        departed_endpoint departed;
        readEndpoint(item, id, departed.view);
        item.read("departed", departed.since);
        m_departed[id] = std::move(departed);
        ok = ok && item.isOk();
    }
    if (!ok) {
        fields.fail();
    }
}

} // namespace chervilbend::state
