#pragma once

#include <chervilbend/config/node_settings.hpp>

#include <memory>

namespace chervilbend::net
{
class http_client;
} // namespace chervilbend::net

namespace chervilbend::external
{
class engine_control;
class host_list;
class log_service;
class weight_store;
} // namespace chervilbend::external

namespace chervilbend::node
{

/// Clients of the external systems that a node uses. To support another protocol, only the classes that are created here have to be replaced.
struct external_clients {
    external_clients();
    ~external_clients();
    external_clients(external_clients &&) noexcept;

    /// The transport of the other clients, so it must outlive them.
    std::unique_ptr<net::http_client> http;

    /// Streams of the log service.
    std::unique_ptr<external::log_service> control;
    std::unique_ptr<external::log_service> orders;
    std::unique_ptr<external::log_service> day;
    std::unique_ptr<external::log_service> checkpoints;

    std::unique_ptr<external::host_list> hosts;
    std::unique_ptr<external::engine_control> engines;
    std::unique_ptr<external::weight_store> store;
};

/// Creates HTTP clients for the addresses in the settings, which must be valid.
external_clients httpExternalClients(const config::node_settings &settings);

} // namespace chervilbend::node
