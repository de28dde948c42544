#pragma once

#include <chervilbend/config/node_settings.hpp>

#include <memory>

namespace chervilbend::net
{
class http_client;
} // namespace chervilbend::net

namespace chervilbend::platform
{
class engine_control;
class host_list;
class log_service;
class weight_store;
} // namespace chervilbend::platform

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
    std::unique_ptr<platform::log_service> control;
    std::unique_ptr<platform::log_service> orders;
    std::unique_ptr<platform::log_service> day;
    std::unique_ptr<platform::log_service> checkpoints;

    std::unique_ptr<platform::host_list> hosts;
    std::unique_ptr<platform::engine_control> engines;
    std::unique_ptr<platform::weight_store> store;
};

/// The HTTP adapters for the addresses in the settings, which must be valid.
platform_clients httpPlatformClients(const config::node_settings &settings);

} // namespace chervilbend::node
