#include <chervilbend/config/memory_fit.hpp>

#include <chervilbend/config/quantity.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

namespace chervilbend::config
{

namespace
{

/// Maximum number of endpoints listed in one line.
constexpr std::size_t maxListedEndpoints = 5;

struct memory_demand {
    const model_declaration *model = nullptr;
    base::byte_count adapters;
    base::byte_count bytesPerCopy;
};

struct free_memory {
    endpoint_memory endpoint;
    base::byte_count remaining;
};

memory_demand demandOf(const model_declaration &model)
{
    memory_demand demand;
    demand.model = &model;
    for (const adapter_declaration &adapter : model.adapters) {
        demand.adapters += adapter.bytes;
    }
    demand.bytesPerCopy = model.weights + model.kvReserve + demand.adapters;
    return demand;
}

std::string nameOf(const endpoint_memory &endpoint)
{
    return endpoint.endpoint.value() + " (zone " + endpoint.zone.value() + ')';
}

class packer
{
public:
    explicit packer(std::span<const endpoint_memory> endpoints)
    {
        for (const endpoint_memory &endpoint : endpoints) {
            m_free.push_back({endpoint, endpoint.memory});
            m_zones.insert(endpoint.zone);
            m_memory += endpoint.memory;
        }
        std::ranges::sort(m_free, {}, [](const free_memory &item) { return item.endpoint.endpoint; });
    }

    memory_fit pack(const std::vector<memory_demand> &demands)
    {
        m_result.fits = true;
        m_result.calculation.push_back("memory of " + std::to_string(m_free.size()) + " endpoints in " + std::to_string(m_zones.size())
                                       + " zones: " + formatBytes(m_memory));
        base::byte_count sum;
        for (const memory_demand &demand : demands) {
            for (int copy = 0; copy < demand.model->copies; ++copy) {
                sum += demand.bytesPerCopy;
            }
            place(demand);
        }
        m_result.calculation.push_back("sum of all copies: " + formatBytes(sum) + " of " + formatBytes(m_memory));
        std::ranges::move(m_problems, std::back_inserter(m_result.calculation));
        return std::move(m_result);
    }

private:
    void place(const memory_demand &demand)
    {
        std::set<base::endpoint_id> used;
        std::map<base::zone_id, int> copiesPerZone;
        std::string placements;
        for (int copy = 1; copy <= demand.model->copies; ++copy) {
            const auto found = std::ranges::find_if(m_free, [&](const free_memory &item) {
                return item.remaining >= demand.bytesPerCopy && !used.contains(item.endpoint.endpoint)
                    && copiesPerZone[item.endpoint.zone] <= minCopiesPerZone(copiesPerZone);
            });
            if (found == m_free.end()) {
                m_result.fits = false;
                explainFailure(demand, copy, used, copiesPerZone);
                placements += (placements.empty() ? "" : ", ") + std::string("no place");
                break;
            }
            found->remaining -= demand.bytesPerCopy;
            used.insert(found->endpoint.endpoint);
            ++copiesPerZone[found->endpoint.zone];
            placements += (placements.empty() ? "" : ", ") + nameOf(found->endpoint);
        }
        m_result.calculation.push_back(itemOf(*demand.model).value() + ": " + std::to_string(demand.model->copies) + " x " + formatBytes(demand.bytesPerCopy)
                                       + " (weights " + formatBytes(demand.model->weights) + " + KV reserve " + formatBytes(demand.model->kvReserve)
                                       + " + adapters " + formatBytes(demand.adapters) + "): " + placements);
    }

    /// The lowest number of copies in any zone. The next copy must go to a zone with that many.
    int minCopiesPerZone(std::map<base::zone_id, int> &copiesPerZone) const
    {
        int minimum = 0;
        bool isFirst = true;
        for (const base::zone_id &zone : m_zones) {
            minimum = isFirst ? copiesPerZone[zone] : std::min(minimum, copiesPerZone[zone]);
            isFirst = false;
        }
        return minimum;
    }

    void explainFailure(const memory_demand &demand, int copy, const std::set<base::endpoint_id> &used, std::map<base::zone_id, int> &copiesPerZone)
    {
        std::vector<free_memory> candidates;
        std::ranges::copy_if(m_free, std::back_inserter(candidates), [&](const free_memory &item) {
            return !used.contains(item.endpoint.endpoint) && copiesPerZone[item.endpoint.zone] <= minCopiesPerZone(copiesPerZone);
        });
        std::ranges::stable_sort(candidates, std::ranges::greater{}, &free_memory::remaining);
        std::string text =
            "no place for copy " + std::to_string(copy) + " of " + itemOf(*demand.model).value() + ": it needs " + formatBytes(demand.bytesPerCopy);
        text += candidates.empty() ? "; all endpoints that it may use hold a copy already" : "; most memory left in zones without a copy:";
        for (std::size_t i = 0; i < std::min(candidates.size(), maxListedEndpoints); ++i) {
            text += (i == 0 ? " " : ", ") + nameOf(candidates[i].endpoint) + ' ' + formatBytes(candidates[i].remaining);
        }
        m_problems.push_back(std::move(text));
    }

    std::vector<free_memory> m_free;
    std::set<base::zone_id> m_zones;
    base::byte_count m_memory;
    memory_fit m_result;
    std::vector<std::string> m_problems;
};

} // namespace

memory_fit fitIntoMemory(std::span<const service_declaration> declarations, std::span<const endpoint_memory> endpoints)
{
    std::vector<memory_demand> demands;
    for (const service_declaration &declaration : declarations) {
        for (const model_declaration &model : declaration.models) {
            demands.push_back(demandOf(model));
        }
    }
    std::ranges::stable_sort(demands, std::ranges::greater{}, &memory_demand::bytesPerCopy);
    return packer(endpoints).pack(demands);
}

} // namespace chervilbend::config
