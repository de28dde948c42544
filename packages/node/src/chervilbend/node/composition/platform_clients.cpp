#include <chervilbend/node/composition/platform_clients.hpp>

#include <chervilbend/external/http/http_engine_control.hpp>
#include <chervilbend/external/http/http_host_list.hpp>
#include <chervilbend/external/http/http_log_service.hpp>
#include <chervilbend/external/http/http_weight_store.hpp>
#include <chervilbend/net/http_client.hpp>

namespace chervilbend::node
{

namespace
{

/// The settings' reader has checked the addresses.
net::address addressOf(const std::string &text)
{
    return net::parseAddress(text).value_or(net::address());
}

std::unique_ptr<external::log_service> stream(net::http_client &client, const config::node_settings &settings, const std::string &name)
{
    return std::make_unique<external::http_log_service>(client, addressOf(settings.log), name);
}

} // namespace

platform_clients::platform_clients() = default;
platform_clients::~platform_clients() = default;
platform_clients::platform_clients(platform_clients &&) noexcept = default;

platform_clients httpPlatformClients(const config::node_settings &settings)
{
    platform_clients clients;
    clients.http = std::make_unique<net::http_client>();
    clients.control = stream(*clients.http, settings, "control");
    clients.orders = stream(*clients.http, settings, "orders");
    clients.day = stream(*clients.http, settings, "day");
    clients.checkpoints = stream(*clients.http, settings, "checkpoint");
    clients.hosts = std::make_unique<external::http_host_list>(*clients.http, addressOf(settings.hosts));
    clients.engines = std::make_unique<external::http_engine_control>(*clients.http);
    clients.store = std::make_unique<external::http_weight_store>(*clients.http, addressOf(settings.store));
    return clients;
}

} // namespace chervilbend::node
