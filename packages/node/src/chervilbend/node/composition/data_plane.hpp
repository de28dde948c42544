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
class daily_statistics;
struct external_clients;

/// The components that serve callers' requests: admission, routing, forwarding and orders.
class data_plane
{
public:
    /// All references must outlive the object, and the object must outlive the run of the io_context.
    data_plane(const boost::asio::any_io_executor &executor,
               const config::node_settings &settings,
               const node_identity &identity,
               metered_director &director,
               control_plane &control,
               external_clients &clients,
               base::metric_registry &metrics,
               daily_statistics &statistics);

    /// Commands.

    /// Starts the background tasks that keep the director up to date.
    void start();

    net::http_handler &handler()
    {
        return m_api;
    }

    open_requests &openRequests()
    {
        return m_openRequests;
    }

    caller_metrics &metrics()
    {
        return m_metrics;
    }

    const admission &admissionController() const
    {
        return m_admission;
    }

private:
    boost::asio::awaitable<void> refreshRouting();
    boost::asio::awaitable<void> exchangeSuspicions();
    boost::asio::awaitable<void> watchForPauses();

    metered_director &m_director;
    control_plane &m_control;
    boost::asio::any_io_executor m_executor;
    caller_metrics m_metrics;
    open_requests m_openRequests;
    net::http_client m_client;
    endpoint_directory m_directory;
    admission m_admission;
    control::log_order_gateway m_orderGateway;
    counting_order_gateway m_countingOrderGateway;
    service_catalog m_catalog;
    forwarder m_forwarder;
    order_handler m_orderDesk;
    caller_api m_api;
    routing_feed m_routingFeed;
    control::report_poller m_reportPoller;
};

} // namespace chervilbend::node
