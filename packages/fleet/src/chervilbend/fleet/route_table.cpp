#include <chervilbend/fleet/route_table.hpp>

#include <chervilbend/base/hash.hpp>

#include <utility>

namespace chervilbend::fleet
{

route_table::route_table(std::shared_ptr<const traffic_configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const route_rule &route : m_configuration->routes) {
        m_byHost[route.host][route.pathPrefix] = &route;
    }
    if (m_configuration->accounts) {
        m_accounts.emplace(*m_configuration->accounts);
    }
}

const route_rule *route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_byHost.find(host);
    if (prefixes == m_byHost.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path that end with a slash are candidates.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const base::service_id *chooseService(const route_rule &route, std::string_view key)
{
    double sum = 0;
    for (const traffic_share &share : route.shares) {
        sum += share.weight;
    }
    if (sum <= 0) {
        return nullptr;
    }
    constexpr double range = 18446744073709551616.0;
    double place = static_cast<double>(base::hash64(key)) / range * sum;
    const base::service_id *chosen = nullptr;
    for (const traffic_share &share : route.shares) {
        if (share.weight <= 0) {
            continue;
        }
        chosen = &share.service;
        place -= share.weight;
        if (place < 0) {
            break;
        }
    }
    return chosen;
}

} // namespace chervilbend::fleet
