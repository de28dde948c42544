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

/// The outside systems that a node talks to. Another wire form needs other classes here and nothing else.
struct platform_clients {
    platform_clients();
    ~platform_clients();
    platform_clients(platform_clients &&) noexcept;

    /// The transport of the others, which it therefore outlives.
    std::unique_ptr<net::http_client> http;

    /// The streams of the log.
    std::unique_ptr<external::log_service> control;
    std::unique_ptr<external::log_service> orders;
    std::unique_ptr<external::log_service> day;
    std::unique_ptr<external::log_service> checkpoints;

    std::unique_ptr<external::host_list> hosts;
    std::unique_ptr<external::engine_control> engines;
    std::unique_ptr<external::weight_store> store;
};

/// The HTTP adapters for the addresses in the settings, which must be valid.
platform_clients httpPlatformClients(const config::node_settings &settings);

} // namespace chervilbend::node
