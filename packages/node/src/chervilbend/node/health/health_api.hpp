#pragma once

#include <chervilbend/net/http_handler.hpp>

#include <memory>

namespace chervilbend::base
{
class metric_registry;
}

namespace chervilbend::node
{

class readiness;

/// Serves `/healthz` (the event loop is running), `/readyz` (the load balancer may send callers to this node) and `/metrics`, and passes all
/// other requests to the next handler. While a condition of readiness is missing, those are refused instead.
class health_api : public net::http_handler
{
public:
    /// All references must outlive the server that uses this handler.
    health_api(const readiness &ready, const base::metric_registry &metrics, net::http_handler &next);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;

private:
    const readiness &m_readiness;
    const base::metric_registry &m_metrics;
    net::http_handler &m_next;
};

} // namespace chervilbend::node
