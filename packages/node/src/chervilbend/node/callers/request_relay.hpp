#pragma once

#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/node/callers/relay_protocol.hpp>

#include <cstddef>
#include <optional>
#include <set>

namespace chervilbend::routing
{
class helper_nodes;
}

namespace chervilbend::node
{

class endpoint_reachability;

/// Chooses the node that serves a request for this one while it reaches no endpoint.
class request_relay
{
public:
    /// References must outlive the object.
    request_relay(const fleet::request_codec &codec, const endpoint_reachability &reachability, const routing::helper_nodes &helpers);

    bool isNeeded() const;
    /// A node that is not in @p tried; no value if there is none. Requests are spread over the helpers. @p hasAccount: the request is sent on with its
    /// account, which nodes of earlier versions would not pass to the endpoint.
    std::optional<net::address> chooseHelper(const std::set<net::address> &tried, bool hasAccount);

    const relay_protocol &protocol() const
    {
        return m_protocol;
    }

    /// Connections to other nodes.
    net::http_client &client()
    {
        return m_client;
    }

private:
    relay_protocol m_protocol;
    const endpoint_reachability &m_reachability;
    const routing::helper_nodes &m_helpers;
    net::http_client m_client;
    std::size_t m_rotation = 0;
};

} // namespace chervilbend::node
