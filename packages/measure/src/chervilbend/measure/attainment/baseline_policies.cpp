#include <chervilbend/measure/attainment/baseline_policies.hpp>

#include <chervilbend/config/model_declaration.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::measure
{

namespace
{

double demandOf(const std::map<base::item_id, double> &demand, const base::item_id &item)
{
    const auto entry = demand.find(item);
    return entry == demand.end() ? 0.0 : entry->second;
}

} // namespace

void baseline_policy::readInput(const placement::planner_input &input)
{
    m_token = input.plannerToken;
    m_models.clear();
    for (const auto &[service, view] : input.services) {
        for (const config::model_declaration &model : view.declaration.models) {
            model_facts facts{itemOf(model), model.weights + model.kvReserve, model.copies, {}};
            for (const config::adapter_declaration &adapter : model.adapters) {
                facts.adapters.emplace_back(itemOf(model, adapter), adapter.bytes);
            }
            m_models.push_back(std::move(facts));
        }
    }
    m_free.clear();
    m_items.clear();
    for (const auto &[id, view] : input.endpoints) {
        m_free[id] = view.memory - view.reserved;
        for (const auto &[item, resident] : view.items) {
            m_items[id][item] = resident.state;
        }
    }
}

base::byte_count baseline_policy::totalBytes(const model_facts &model) const
{
    base::byte_count bytes = model.bytes;
    for (const auto &[adapter, size] : model.adapters) {
        bytes += size;
    }
    return bytes;
}

bool baseline_policy::assign(const model_facts &model, std::vector<state::entry> &entries)
{
    const base::endpoint_id *target = nullptr;
    for (const auto &[id, free] : m_free) {
        if (free >= totalBytes(model) && !m_items[id].contains(model.item) && (!target || free > m_free[*target])) {
            target = &id;
        }
    }
    if (!target) {
        return false;
    }
    m_free[*target] -= totalBytes(model);
    m_items[*target][model.item] = state::residency::assigned;
    entries.emplace_back(state::assign_entry{*target, model.item, model.bytes, m_token});
    for (const auto &[adapter, bytes] : model.adapters) {
        entries.emplace_back(state::assign_entry{*target, adapter, bytes, m_token});
    }
    return true;
}

void baseline_policy::drop(const model_facts &model, const base::endpoint_id &endpoint, std::vector<state::entry> &entries)
{
    for (const auto &[adapter, bytes] : model.adapters) {
        entries.emplace_back(state::drop_entry{endpoint, adapter, m_token});
    }
    entries.emplace_back(state::drop_entry{endpoint, model.item, m_token});
    m_items[endpoint][model.item] = state::residency::dropping;
}

bool baseline_policy::isLoadedAt(const model_facts &model, const base::endpoint_id &endpoint) const
{
    const auto items = m_items.find(endpoint);
    if (items == m_items.end()) {
        return false;
    }
    const auto entry = items->second.find(model.item);
    return entry != items->second.end() && entry->second == state::residency::loaded;
}

int baseline_policy::copiesOf(const model_facts &model) const
{
    return static_cast<int>(std::count_if(m_items.begin(), m_items.end(), [&model](const auto &entry) {
        const auto item = entry.second.find(model.item);
        return item != entry.second.end() && item->second != state::residency::dropping;
    }));
}

static_policy::static_policy(std::map<base::item_id, double> meanDemand)
    : m_meanDemand(std::move(meanDemand))
{
}

std::vector<state::entry> static_policy::plan(const placement::planner_input &input)
{
    std::vector<state::entry> entries;
    if (std::exchange(m_isPlaced, true)) {
        return entries;
    }
    readInput(input);
    std::sort(m_models.begin(), m_models.end(), [this](const auto &left, const auto &right) { return totalBytes(left) > totalBytes(right); });
    for (const model_facts &model : m_models) {
        for (int copy = 0; copy < model.copies; ++copy) {
            assign(model, entries);
        }
    }
    // Fills the remaining memory with copies of the model with the highest demand per copy until nothing fits.
    std::set<base::item_id> unplaceable;
    while (unplaceable.size() < m_models.size()) {
        const auto demandPerCopy = [this, &unplaceable](const model_facts &model) {
            return unplaceable.contains(model.item) ? -1.0 : demandOf(m_meanDemand, model.item) / std::max(1, copiesOf(model));
        };
        const auto mostLoaded = std::max_element(
            m_models.begin(), m_models.end(), [&demandPerCopy](const auto &left, const auto &right) { return demandPerCopy(left) < demandPerCopy(right); });
        if (!assign(*mostLoaded, entries)) {
            unplaceable.insert(mostLoaded->item);
        }
    }
    return entries;
}

std::vector<state::entry> greedy_policy::plan(const placement::planner_input &input)
{
    std::vector<state::entry> entries;
    constexpr int intervalSeconds = 10;
    if (m_elapsedSeconds++ % intervalSeconds != 0) {
        return entries;
    }
    readInput(input);
    constexpr double utilisation = 0.7;
    std::map<base::item_id, int> wanted;
    for (const model_facts &model : m_models) {
        wanted[model.item] = std::max(model.copies, static_cast<int>(std::ceil(demandOf(input.demand, model.item) / utilisation)));
    }
    dropSurplus(wanted, entries);
    const auto demandPerCopy = [this, &input](const model_facts &model) {
        return demandOf(input.demand, model.item) / std::max(1, copiesOf(model));
    };
    std::sort(m_models.begin(), m_models.end(), [&demandPerCopy](const auto &left, const auto &right) { return demandPerCopy(left) > demandPerCopy(right); });
    // Models without a copy are placed before further copies of other models.
    std::stable_sort(m_models.begin(), m_models.end(), [this](const auto &left, const auto &right) { return copiesOf(left) == 0 && copiesOf(right) > 0; });
    for (const model_facts &model : m_models) {
        while (copiesOf(model) < wanted[model.item]) {
            if (!assign(model, entries)) {
                makeRoom(model, input, entries);
                break;
            }
        }
    }
    return entries;
}

void greedy_policy::dropSurplus(const std::map<base::item_id, int> &wanted, std::vector<state::entry> &entries)
{
    for (const model_facts &model : m_models) {
        for (const auto &[endpoint, free] : m_free) {
            if (copiesOf(model) > wanted.at(model.item) && isLoadedAt(model, endpoint)) {
                drop(model, endpoint, entries);
            }
        }
    }
}

bool greedy_policy::makeRoom(const model_facts &model, const placement::planner_input &input, std::vector<state::entry> &entries)
{
    // Drops the surplus copy with the least demand, at an endpoint where that frees enough memory.
    const model_facts *victim = nullptr;
    base::endpoint_id victimEndpoint;
    double least = demandOf(input.demand, model.item) / (copiesOf(model) + 1);
    for (const model_facts &other : m_models) {
        const double demandPerCopy = demandOf(input.demand, other.item) / std::max(1, copiesOf(other));
        for (const auto &[endpoint, free] : m_free) {
            const bool fits = free + totalBytes(other) >= totalBytes(model);
            if (copiesOf(other) > other.copies && demandPerCopy < least && fits && isLoadedAt(other, endpoint) && !m_items[endpoint].contains(model.item)) {
                victim = &other;
                victimEndpoint = endpoint;
                least = demandPerCopy;
            }
        }
    }
    if (victim) {
        drop(*victim, victimEndpoint, entries);
    }
    return victim;
}

} // namespace chervilbend::measure
