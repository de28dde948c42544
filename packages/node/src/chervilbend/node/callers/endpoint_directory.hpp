#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/net/address.hpp>

#include <optional>
#include <unordered_map>

namespace chervilbend::node
{

/// The addresses of the endpoints that the traffic director knows. Whoever calls traffic_director::setEndpoint also calls set() here.
class endpoint_directory
{
public:
    void set(const base::endpoint_id &endpoint, const net::address &where);
    void remove(const base::endpoint_id &endpoint);

    std::optional<net::address> find(const base::endpoint_id &endpoint) const;

private:
    std::unordered_map<base::endpoint_id, net::address> m_addresses;
};

} // namespace chervilbend::node
