#pragma once

#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/node/callers/caller_terms.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/inference_request.hpp>
#include <chervilbend/node/callers/order_handler.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace chervilbend::node
{

class caller_metrics;
class open_requests;
class service_catalog;

/// The callers' side of a node: the OpenAI-compatible API and the declared routes of plain services.
///
/// Put together in this order, each from references to earlier ones: caller_metrics(registry), open_requests, net::http_client,
/// endpoint_directory (filled together with traffic_director::setEndpoint), admission(executor, director), service_catalog,
/// forwarder, order_handler(order gateway), caller_api, health_api around it as the server's handler, then caller_metrics::registerGauges().
/// After commands that are given to the director directly, admission::deliverDecisions() is called.
class caller_api : public net::http_handler
{
public:
    /// All collaborators must outlive the server that uses this handler.
    caller_api(service_catalog &catalog, forwarder &requests, order_handler &orders, open_requests &open, caller_metrics &metrics);

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
    order_handler &m_orders;
    open_requests &m_open;
    caller_metrics &m_metrics;
};

} // namespace chervilbend::node
