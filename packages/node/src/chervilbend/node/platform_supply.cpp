#include <chervilbend/node/platform_supply.hpp>

#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/residency_view.hpp>

#include <algorithm>

namespace chervilbend::node
{

platform_supply::platform_supply(const fleet::endpoint_registry &registry, const fleet::residency_view &residency)
    : m_registry(registry)
    , m_residency(residency)
{
}

boost::asio::awaitable<bool>
    platform_supply::supply(base::service_id service, std::string model, std::string adapter, base::time_point /*deadline*/)
{
    for (const auto &[id, known] : m_registry.endpoints()) {
        if (known.entry.service != service || known.entry.draining) {
            continue;
        }
        for (const fleet::resident_model &resident : m_residency.modelsAt(id)) {
            const bool hasAdapter = adapter.empty() || std::find(resident.adapters.begin(), resident.adapters.end(), adapter) != resident.adapters.end();
            if (resident.name == model && hasAdapter) {
                co_return true;
            }
        }
    }
    co_return false;
}

} // namespace chervilbend::node
