#pragma once

#include <chervilbend/net/http_handler.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace chervilbend::fleet
{
class request_codec;
}

namespace chervilbend::node
{

class route_api;

/// HTTP handler for other nodes: their calls, and the requests that they pass on while they reach no endpoint.
class peer_api : public net::http_handler
{
public:
    /// References must outlive the object. @p canHelp tells whether this node can serve requests of others now.
    peer_api(const fleet::request_codec &codec, net::http_handler &calls, route_api &routes, std::function<bool()> canHelp);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;

private:
    const fleet::request_codec &m_codec;
    net::http_handler &m_calls;
    route_api &m_routes;
    std::function<bool()> m_canHelp;
};

} // namespace chervilbend::node
