#include <chervilbend/node/composition/external_clients.hpp>

#include <chervilbend/external/http/http_engine_control.hpp>
#include <chervilbend/external/http/http_host_list.hpp>
#include <chervilbend/external/http/http_log_service.hpp>
#include <chervilbend/external/http/http_weight_store.hpp>
#include <chervilbend/net/http_client.hpp>

namespace chervilbend::node
{

namespace
{

/// Parses an address that node_settings_reader has already validated.
net::address addressOf(const std::string &text)
{
    return net::parseAddress(text).value_or(net::address());
}

std::unique_ptr<external::log_service> logStream(net::http_client &client, const config::node_settings &settings, const std::string &name)
{
    return std::make_unique<external::http_log_service>(client, addressOf(settings.log), name);
}

} // namespace

external_clients::external_clients() = default;
external_clients::~external_clients() = default;
external_clients::external_clients(external_clients &&) noexcept = default;

external_clients httpExternalClients(const config::node_settings &settings)
{
    external_clients clients;
    clients.http = std::make_unique<net::http_client>();
    clients.control = logStream(*clients.http, settings, "control");
    clients.orders = logStream(*clients.http, settings, "orders");
    clients.day = logStream(*clients.http, settings, "day");
    clients.checkpoints = logStream(*clients.http, settings, "checkpoint");
    clients.hosts = std::make_unique<external::http_host_list>(*clients.http, addressOf(settings.hosts));
    clients.engines = std::make_unique<external::http_engine_control>(*clients.http);
    clients.store = std::make_unique<external::http_weight_store>(*clients.http, addressOf(settings.store));
    return clients;
}

} // namespace chervilbend::node
