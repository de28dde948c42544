#pragma once

#include <chervilbend/base/metric_registry.hpp>
#include <chervilbend/config/node_settings.hpp>
#include <chervilbend/control/log_order_gateway.hpp>
#include <chervilbend/control/report_poller.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/caller_api.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/order_handler.hpp>
#include <chervilbend/node/callers/service_catalog.hpp>
#include <chervilbend/node/composition/node_identity.hpp>
#include <chervilbend/node/metered_director.hpp>
#include <chervilbend/node/reports/counting_order_gateway.hpp>
#include <chervilbend/node/routing_feed.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace chervilbend::node
{

class control_plane;
class day_side;
struct platform_clients;

/// All that serves callers: admission, routing, forwarding and orders.
class caller_side
{
public:
    /// All references must outlive the object, and the object the io_context's run.
    caller_side(const boost::asio::any_io_executor &executor,
                const config::node_settings &settings,
                const node_identity &identity,
                metered_director &director,
                control_plane &control,
                platform_clients &platform,
                base::metric_registry &metrics,
                day_side &day);

    /// Commands.

    /// Starts the tasks that keep the director up to date.
    void start();

    net::http_handler &handler()
    {
        return m_api;
    }

    open_requests &open()
    {
        return m_open;
    }

    caller_metrics &metrics()
    {
        return m_metrics;
    }

    const admission &gate() const
    {
        return m_admission;
    }

private:
    boost::asio::awaitable<void> followState();
    boost::asio::awaitable<void> exchangeSuspicions();
    boost::asio::awaitable<void> tellRunning();

    metered_director &m_director;
    control_plane &m_control;
    boost::asio::any_io_executor m_executor;
    caller_metrics m_metrics;
    open_requests m_open;
    net::http_client m_client;
    endpoint_directory m_directory;
    admission m_admission;
    control::log_order_gateway m_gateway;
    counting_order_gateway m_countingGateway;
    service_catalog m_catalog;
    forwarder m_forwarder;
    order_handler m_orders;
    caller_api m_api;
    routing_feed m_feed;
    control::report_poller m_reports;
};

} // namespace chervilbend::node
