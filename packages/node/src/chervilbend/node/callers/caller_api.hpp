#pragma once

#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/inference_request.hpp>
#include <chervilbend/node/callers/order_handler.hpp>
#include <chervilbend/node/callers/request_attributes.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace chervilbend::node
{

class caller_metrics;
class open_requests;
class service_catalog;

/// HTTP handler for callers: the OpenAI-compatible API and the declared routes of plain services.
///
/// Construct the objects in this order, each with references to earlier ones: caller_metrics(registry), open_requests, net::http_client,
/// endpoint_directory (updated together with traffic_director::setEndpoint), admission(executor, director), service_catalog,
/// forwarder, order_handler(order gateway), caller_api, health_api as the server's handler that wraps it; then call
/// caller_metrics::registerGauges(). Call admission::deliverDecisions() after every direct call of a director's command.
class caller_api : public net::http_handler
{
public:
    /// All arguments must outlive the server that uses this handler.
    caller_api(service_catalog &catalog, forwarder &requestForwarder, order_handler &orderHandler, open_requests &open, caller_metrics &metrics);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;

private:
    boost::asio::awaitable<void> refuse(std::shared_ptr<net::http_exchange> exchange, base::error_kind kind, std::string text);
    boost::asio::awaitable<void> refuseUnknownRoute(std::shared_ptr<net::http_exchange> exchange, std::string text);
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange);
    boost::asio::awaitable<void> serveInference(std::shared_ptr<net::http_exchange> exchange, std::string_view path);
    boost::asio::awaitable<void> serveModelList(std::shared_ptr<net::http_exchange> exchange);
    boost::asio::awaitable<void> serveRoute(std::shared_ptr<net::http_exchange> exchange, std::string_view path);

    service_catalog &m_catalog;
    forwarder &m_forwarder;
    order_handler &m_orderHandler;
    open_requests &m_open;
    caller_metrics &m_metrics;
};

} // namespace chervilbend::node
