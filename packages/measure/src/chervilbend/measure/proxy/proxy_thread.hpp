#pragma once

#include <cstdint>
#include <memory>

namespace chervilbend::measure
{

/// The caller-facing part of a node, with one endpoint, in its own thread as in the real process.
class proxy_thread
{
public:
    explicit proxy_thread(std::uint16_t endpointPort);
    ~proxy_thread();
    proxy_thread(const proxy_thread &) = delete;
    proxy_thread &operator=(const proxy_thread &) = delete;

    std::uint16_t port() const;

    /// Processor time that the thread has used so far, in seconds.
    double processorSeconds() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilbend::measure
