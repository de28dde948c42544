#pragma once

#include <cstdint>
#include <memory>

namespace chervilbend::measure
{

/// An endpoint with its own thread and minimal processing, so that measurements show the cost of the proxy and not of the endpoint.
///
/// A request with "stream":true in its body gets one event of a stream that never ends; any other body is echoed in the answer.
class echo_endpoint
{
public:
    echo_endpoint();
    ~echo_endpoint();
    echo_endpoint(const echo_endpoint &) = delete;
    echo_endpoint &operator=(const echo_endpoint &) = delete;

    std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilbend::measure
