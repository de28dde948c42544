#pragma once

#include <cstdint>
#include <memory>

namespace chervilbend::measure
{

/// An endpoint in a thread of its own that answers as fast as it can, so that the proxy and not the endpoint is measured.
///
/// A body with "stream":true gets events without end, one at once and no more; any other body is sent back as the answer.
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
