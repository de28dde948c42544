#pragma once

#include <cstdint>
#include <memory>

namespace chervilbend::measure
{

/// The callers' side of a node in front of one endpoint, in a thread of its own as in the real process.
class front_thread
{
public:
    explicit front_thread(std::uint16_t endpointPort);
    ~front_thread();
    front_thread(const front_thread &) = delete;
    front_thread &operator=(const front_thread &) = delete;

    std::uint16_t port() const;

    /// Processor time that the thread has taken so far, in seconds.
    double processorSeconds() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilbend::measure
