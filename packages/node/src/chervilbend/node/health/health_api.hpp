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

/// Answers `/healthz` (the event loop runs), `/readyz` (callers may be sent here) and `/metrics`; hands everything else on.
class health_api : public net::http_handler
{
public:
    /// All collaborators must outlive the server that uses this handler.
    health_api(const readiness &ready, const base::metric_registry &metrics, net::http_handler &next);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;

private:
    const readiness &m_readiness;
    const base::metric_registry &m_metrics;
    net::http_handler &m_next;
};

} // namespace chervilbend::node
