#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/fleet/route_table.hpp>
#include <chervilbend/fleet/usage_meter.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/node/callers/account_metrics.hpp>
#include <chervilbend/node/callers/caller_authentication.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/platform_protocol.hpp>
#include <chervilbend/node/callers/quota_admission.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chervilbend::fleet
{
class request_codec;
class stream_origins;
struct caller_request;
} // namespace chervilbend::fleet

namespace chervilbend::node
{

class forwarder;
class caller_metrics;
class item_provider;
class open_requests;

/// HTTP handler for the routes of the operators' configuration; resolves the route and forwards the request.
class route_api : public net::http_handler
{
public:
    /// All arguments must outlive the server that uses this handler.
    route_api(const fleet::request_codec &codec,
              forwarder &requestForwarder,
              item_provider &itemProvider,
              fleet::usage_meter &usage,
              open_requests &open,
              fleet::stream_origins &origins,
              caller_metrics &metrics,
              base::metric_registry &registry,
              std::shared_ptr<routing::account_quotas> quotas);

    /// How keys are checked. @p confirmedAt tells when the store last confirmed the configuration.
    void setAuthentication(authentication_settings settings, std::function<base::time_point()> confirmedAt);

    /// Replaces the routing configuration. Requests that are already being served keep the previous version.
    void setRoutes(std::shared_ptr<const fleet::route_table> routes);

    /// The process stops: requests that arrive from now on have to be answered by @p latestEnd, and those from @p latestArrival on are refused. Other nodes
    /// have the time that they need.
    void stopAt(base::time_point latestArrival, base::time_point latestEnd);

    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange) override;
    /// Serves a request that another node has passed on.
    boost::asio::awaitable<void> handleRelayed(std::shared_ptr<net::http_exchange> exchange);

private:
    boost::asio::awaitable<void> handleGuarded(std::shared_ptr<net::http_exchange> exchange, bool isRelayed);
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, bool isRelayed);
    authentication authenticate(const fleet::route_table &routes, const fleet::route_rule &route, const fleet::caller_request &caller, bool isRelayed);
    /// Binds a request that takes up a stream to the software version that began it. False, with @p why set, if that is not known.
    boost::asio::awaitable<bool> bindToOrigin(forwarding_plan &plan, const fleet::caller_request &caller, base::reason &why);
    /// Charges the request to its account's quota. False if it was refused.
    boost::asio::awaitable<bool>
        charge(std::shared_ptr<net::http_exchange> exchange, const fleet::caller_request &caller, forwarding_plan &plan, const fleet::account_rule &account);
    boost::asio::awaitable<void> refuse(std::shared_ptr<net::http_exchange> exchange, std::string attempt, base::error_kind kind, std::string text);
    /// Refuses a request whose model no endpoint holds.
    boost::asio::awaitable<void> refuseUnserved(std::shared_ptr<net::http_exchange> exchange, const forwarding_plan &plan);
    void noteRefusal(const net::http_request &request, const std::string &attempt, const base::reason &why, std::optional<base::milliseconds> retryAfter);
    forwarding_plan planFor(const net::http_request &request,
                            const fleet::caller_request &caller,
                            const fleet::route_rule &route,
                            const authentication &identity,
                            const base::service_id &service,
                            const fleet::service_rule *rule) const;

    const fleet::request_codec &m_codec;
    platform_protocol m_protocol;
    forwarder &m_forwarder;
    item_provider &m_itemProvider;
    fleet::usage_meter &m_usage;
    open_requests &m_open;
    fleet::stream_origins &m_origins;
    caller_metrics &m_metrics;
    account_metrics m_accountMetrics;
    quota_admission m_quotaAdmission;
    caller_authentication m_authentication{authentication_settings{}};
    /// Without it, the configuration counts as confirmed.
    std::function<base::time_point()> m_confirmedAt;
    std::shared_ptr<const fleet::route_table> m_routes;
    base::time_point m_latestArrival = base::time_point::max();
    base::time_point m_latestEnd = base::time_point::max();
};

} // namespace chervilbend::node
