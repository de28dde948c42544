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

/// Longest list of endpoints or models in one line.
constexpr std::size_t mostNamed = 5;

struct need {
    const model_declaration *model = nullptr;
    base::byte_count adapters;
    base::byte_count copy;
};

struct free_memory {
    endpoint_memory where;
    base::byte_count left;
};

need needOf(const model_declaration &model)
{
    need wanted;
    wanted.model = &model;
    for (const adapter_declaration &adapter : model.adapters) {
        wanted.adapters += adapter.bytes;
    }
    wanted.copy = model.weights + model.kvReserve + wanted.adapters;
    return wanted;
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
        std::ranges::sort(m_free, {}, [](const free_memory &item) { return item.where.endpoint; });
    }

    memory_fit pack(const std::vector<need> &needs)
    {
        m_result.fits = true;
        m_result.calculation.push_back("memory of " + std::to_string(m_free.size()) + " endpoints in " + std::to_string(m_zones.size())
                                       + " zones: " + formatBytes(m_memory));
        base::byte_count sum;
        for (const need &wanted : needs) {
            for (int copy = 0; copy < wanted.model->copies; ++copy) {
                sum += wanted.copy;
            }
            place(wanted);
        }
        m_result.calculation.push_back("sum of all copies: " + formatBytes(sum) + " of " + formatBytes(m_memory));
        std::ranges::move(m_problems, std::back_inserter(m_result.calculation));
        return std::move(m_result);
    }

private:
    void place(const need &wanted)
    {
        std::set<base::endpoint_id> used;
        std::map<base::zone_id, int> perZone;
        std::string places;
        for (int copy = 1; copy <= wanted.model->copies; ++copy) {
            const auto found = std::ranges::find_if(m_free, [&](const free_memory &item) {
                return item.left >= wanted.copy && !used.contains(item.where.endpoint) && perZone[item.where.zone] <= leastUsed(perZone);
            });
            if (found == m_free.end()) {
                m_result.fits = false;
                explain(wanted, copy, used, perZone);
                places += (places.empty() ? "" : ", ") + std::string("no place");
                break;
            }
            found->left -= wanted.copy;
            used.insert(found->where.endpoint);
            ++perZone[found->where.zone];
            places += (places.empty() ? "" : ", ") + nameOf(found->where);
        }
        m_result.calculation.push_back(itemOf(*wanted.model).value() + ": " + std::to_string(wanted.model->copies) + " x " + formatBytes(wanted.copy)
                                       + " (weights " + formatBytes(wanted.model->weights) + " + KV reserve " + formatBytes(wanted.model->kvReserve)
                                       + " + adapters " + formatBytes(wanted.adapters) + "): " + places);
    }

    /// Copies in the zone that has the fewest; a further copy may go to no other zone.
    int leastUsed(std::map<base::zone_id, int> &perZone) const
    {
        int least = 0;
        bool isFirst = true;
        for (const base::zone_id &zone : m_zones) {
            least = isFirst ? perZone[zone] : std::min(least, perZone[zone]);
            isFirst = false;
        }
        return least;
    }

    void explain(const need &wanted, int copy, const std::set<base::endpoint_id> &used, std::map<base::zone_id, int> &perZone)
    {
        std::vector<free_memory> open;
        std::ranges::copy_if(m_free, std::back_inserter(open), [&](const free_memory &item) {
            return !used.contains(item.where.endpoint) && perZone[item.where.zone] <= leastUsed(perZone);
        });
        std::ranges::stable_sort(open, std::ranges::greater{}, &free_memory::left);
        std::string text = "no place for copy " + std::to_string(copy) + " of " + itemOf(*wanted.model).value() + ": it needs " + formatBytes(wanted.copy);
        text += open.empty() ? "; all endpoints that it may use hold a copy already" : "; most memory left in zones without a copy:";
        for (std::size_t i = 0; i < std::min(open.size(), mostNamed); ++i) {
            text += (i == 0 ? " " : ", ") + nameOf(open[i].where) + ' ' + formatBytes(open[i].left);
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
    std::vector<need> needs;
    for (const service_declaration &declaration : declarations) {
        for (const model_declaration &model : declaration.models) {
            needs.push_back(needOf(model));
        }
    }
    std::ranges::stable_sort(needs, std::ranges::greater{}, &need::copy);
    return packer(endpoints).pack(needs);
}

} // namespace chervilbend::config
