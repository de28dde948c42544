#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/net/address.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace chervilbend::node
{

/// Addresses of the endpoints that are registered with the traffic director. Every call of traffic_director::setEndpoint() must be paired
/// with a call of set().
class endpoint_directory
{
public:
    void set(const base::endpoint_id &endpoint, const net::address &address);
    void remove(const base::endpoint_id &endpoint);

    std::vector<net::address> addresses() const;
    std::optional<net::address> find(const base::endpoint_id &endpoint) const;

private:
    std::unordered_map<base::endpoint_id, net::address> m_addresses;
};

} // namespace chervilbend::node
