#include <chervilbend/node/callers/endpoint_directory.hpp>

namespace chervilbend::node
{

void endpoint_directory::set(const base::endpoint_id &endpoint, const net::address &address)
{
    m_addresses.insert_or_assign(endpoint, address);
}

void endpoint_directory::remove(const base::endpoint_id &endpoint)
{
    m_addresses.erase(endpoint);
}

std::optional<net::address> endpoint_directory::find(const base::endpoint_id &endpoint) const
{
    const auto found = m_addresses.find(endpoint);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

std::vector<net::address> endpoint_directory::addresses() const
{
    std::vector<net::address> all;
    all.reserve(m_addresses.size());
    for (const auto &[endpoint, address] : m_addresses) {
        all.push_back(address);
    }
    return all;
}

} // namespace chervilbend::node
