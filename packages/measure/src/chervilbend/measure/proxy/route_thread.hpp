#pragma once

#include <chervilbend/fleet/traffic_configuration.hpp>

#include <cstdint>
#include <memory>

namespace chervilbend::measure
{

/// The part of a node that serves callers in the platform's protocol, with one endpoint, in its own thread as in the real process.
class route_thread
{
public:
    explicit route_thread(std::uint16_t endpointPort);
    ~route_thread();
    route_thread(const route_thread &) = delete;
    route_thread &operator=(const route_thread &) = delete;

    std::uint16_t port() const;

    /// Applies to the requests that arrive after the call.
    void setConfiguration(std::shared_ptr<const fleet::traffic_configuration> configuration);

    /// Processor time that the thread has used so far, in seconds.
    double processorSeconds() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilbend::measure
