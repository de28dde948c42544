#include <chervilbend/placement/internal/cluster_model.hpp>

#include <chervilbend/config/model_declaration.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::placement
{

namespace
{

/// Water filling: returns the utilisation that results when @p demand is spread over endpoints with the other loads @p others, the least
/// loaded ones first. Sorts @p others.
double balancedUtilisation(std::vector<double> &others, double demand)
{
    std::sort(others.begin(), others.end());
    double sum = 0;
    for (std::size_t count = 1; count <= others.size(); ++count) {
        sum += others[count - 1];
        const double utilisation = (sum + demand) / static_cast<double>(count);
        if (count == others.size() || utilisation <= others[count]) {
            return utilisation;
        }
    }
    return 0;
}

} // namespace

cluster_model::cluster_model(const planner_input &input, const std::set<std::pair<base::endpoint_id, base::item_id>> &stuck)
{
    addDeclared(input);
    addEndpoints(input, stuck);
}

void cluster_model::addDeclared(const planner_input &input)
{
    const auto demandOf = [&input](const base::item_id &item) {
        const auto entry = input.demand.find(item);
        return entry == input.demand.end() ? 0.0 : entry->second;
    };
    for (const auto &[service, view] : input.services) {
        for (const config::model_declaration &model : view.declaration.models) {
            const std::size_t index = items.size();
            item_record record{itemOf(model), (model.weights + model.kvReserve).count(), model.copies, model.importance, 0, index, {}, {}, 0};
            if (!m_index.emplace(record.id, index).second) {
                continue;
            }
            record.demand = demandOf(record.id);
            items.push_back(std::move(record));
            std::int64_t bundle = items[index].bytes;
            for (const config::adapter_declaration &adapter : model.adapters) {
                item_record adapterRecord{itemOf(model, adapter), adapter.bytes.count(), 1, model.importance, 0, index, {}, {}, 0};
                if (!m_index.emplace(adapterRecord.id, items.size()).second) {
                    continue;
                }
                adapterRecord.demand = demandOf(adapterRecord.id);
                bundle += adapterRecord.bytes;
                items[index].adapters.push_back(items.size());
                items.push_back(std::move(adapterRecord));
            }
            largestBundle = std::max(largestBundle, bundle);
        }
    }
}

void cluster_model::addEndpoints(const planner_input &input, const std::set<std::pair<base::endpoint_id, base::item_id>> &stuck)
{
    std::set<base::zone_id> zones;
    endpoints.reserve(input.endpoints.size());
    for (const auto &[id, view] : input.endpoints) {
        const std::size_t index = endpoints.size();
        endpoint_record record{id, view.zone, view.memory.count(), (view.memory - view.reserved).count(), 0, input.usable.contains(id), 0, {}};
        if (record.usable) {
            zones.insert(view.zone);
        }
        for (const auto &[item, resident] : view.items) {
            const bool isDropping = resident.state == state::residency::dropping;
            record.dropping += isDropping ? resident.bytes.count() : 0;
            const auto known = m_index.find(item);
            if (known == m_index.end()) {
                if (!isDropping) {
                    undeclared.push_back({id, item});
                }
                continue;
            }
            const bool isStuck = resident.state == state::residency::assigned && stuck.contains({id, item});
            items[known->second].placements.push_back({index, resident.state, record.usable && !isDropping && !isStuck, 0});
            record.items.push_back(known->second);
            if (resident.state == state::residency::assigned && record.usable && !isStuck) {
                ++(items[known->second].base == known->second ? modelsInTransit : adaptersInTransit);
            }
        }
        endpoints.push_back(std::move(record));
    }
    usableZones = static_cast<int>(zones.size());
}

void cluster_model::assign(std::size_t item, std::size_t endpoint)
{
    items[item].placements.push_back({endpoint, state::residency::assigned, true, 0});
    endpoints[endpoint].items.push_back(item);
    endpoints[endpoint].free -= items[item].bytes;
}

void cluster_model::drop(std::size_t item, std::size_t endpoint)
{
    item_copy *copy = findCopy(item, endpoint);
    endpoints[endpoint].load -= copy->share;
    endpoints[endpoint].dropping += items[item].bytes;
    *copy = {endpoint, state::residency::dropping, false, 0};
}

void cluster_model::reserve(std::size_t endpoint, std::int64_t bytes)
{
    const std::int64_t fromFree = std::min(bytes, std::max<std::int64_t>(0, endpoints[endpoint].free));
    endpoints[endpoint].free -= fromFree;
    endpoints[endpoint].dropping -= bytes - fromFree;
}

void cluster_model::distributeDemand()
{
    for (item_record &model : items) {
        if (&model - items.data() == static_cast<std::ptrdiff_t>(model.base)) {
            distributeDemand(model);
        }
    }
    // Each round moves load between endpoints that several models share. After six rounds the result is within a few percent of the
    // balanced one, which is well within the thresholds.
    constexpr int rounds = 6;
    for (int round = 1; round < rounds; ++round) {
        for (item_record &model : items) {
            if (&model - items.data() == static_cast<std::ptrdiff_t>(model.base) && model.demand > 0) {
                distributeDemand(model);
            }
        }
    }
}

void cluster_model::distributeDemand(item_record &model)
{
    std::vector<double> others;
    for (item_copy &copy : model.placements) {
        if (copy.isCounted) {
            endpoints[copy.endpoint].load -= copy.share;
            others.push_back(endpoints[copy.endpoint].load);
        }
    }
    model.utilisation = balancedUtilisation(others, model.demand);
    for (item_copy &copy : model.placements) {
        if (copy.isCounted) {
            copy.share = std::max(0.0, model.utilisation - endpoints[copy.endpoint].load);
            endpoints[copy.endpoint].load += copy.share;
        }
    }
}

const item_copy *cluster_model::copyAt(std::size_t item, std::size_t endpoint) const
{
    for (const item_copy &copy : items[item].placements) {
        if (copy.endpoint == endpoint) {
            return &copy;
        }
    }
    return nullptr;
}

item_copy *cluster_model::findCopy(std::size_t item, std::size_t endpoint)
{
    return const_cast<item_copy *>(copyAt(item, endpoint));
}

int cluster_model::countedCopies(std::size_t item) const
{
    const auto &placements = items[item].placements;
    return static_cast<int>(std::count_if(placements.begin(), placements.end(), [](const item_copy &copy) { return copy.isCounted; }));
}

int cluster_model::loadedCopies(std::size_t item) const
{
    const auto &placements = items[item].placements;
    const auto serves = [](const item_copy &copy) {
        return copy.isCounted && copy.state == state::residency::loaded;
    };
    return static_cast<int>(std::count_if(placements.begin(), placements.end(), serves));
}

std::int64_t cluster_model::bundleBytes(std::size_t model) const
{
    std::int64_t bytes = items[model].bytes;
    for (const std::size_t adapter : items[model].adapters) {
        bytes += items[adapter].bytes;
    }
    return bytes;
}

double cluster_model::utilisationWithout(const item_record &model, std::size_t without) const
{
    std::vector<double> others;
    for (const item_copy &copy : model.placements) {
        if (copy.isCounted && copy.endpoint != without) {
            others.push_back(endpoints[copy.endpoint].load - copy.share);
        }
    }
    return balancedUtilisation(others, model.demand);
}

bool cluster_model::mayDrop(std::size_t model, std::size_t endpoint) const
{
    const auto losesLast = [this, endpoint](std::size_t item) {
        const item_copy *copy = copyAt(item, endpoint);
        const bool loadedHere = copy && copy->state == state::residency::loaded;
        return loadedHere && loadedCopies(item) - (copy->isCounted ? 1 : 0) < 1;
    };
    const auto &adapters = items[model].adapters;
    return !losesLast(model) && std::none_of(adapters.begin(), adapters.end(), losesLast);
}

std::int64_t cluster_model::evictableBytes(std::size_t endpoint) const
{
    std::int64_t bytes = endpoints[endpoint].free + endpoints[endpoint].dropping;
    for (const std::size_t item : endpoints[endpoint].items) {
        const item_copy *copy = copyAt(item, endpoint);
        if (isModel(item) && copy->isCounted && countedCopies(item) > items[item].copies && mayDrop(item, endpoint)) {
            bytes += bundleBytes(item);
        }
    }
    return bytes;
}

std::optional<std::size_t> cluster_model::indexOf(const base::item_id &item) const
{
    const auto found = m_index.find(item);
    return found == m_index.end() ? std::nullopt : std::optional(found->second);
}

int cluster_model::copiesInZone(std::size_t item, const base::zone_id &zone) const
{
    const auto &placements = items[item].placements;
    return static_cast<int>(
        std::count_if(placements.begin(), placements.end(), [&](const item_copy &copy) { return copy.isCounted && endpoints[copy.endpoint].zone == zone; }));
}

int cluster_model::zoneCount(std::size_t item) const
{
    std::set<base::zone_id> zones;
    for (const item_copy &copy : items[item].placements) {
        if (copy.isCounted) {
            zones.insert(endpoints[copy.endpoint].zone);
        }
    }
    return static_cast<int>(zones.size());
}

} // namespace chervilbend::placement
