#pragma once

#include <cstdint>
#include <string>

namespace chervilbend::measure
{

/// A caller with one connection and no event loop, whose own cost is a write and a read per request.
class blocking_caller
{
public:
    explicit blocking_caller(std::uint16_t port);
    ~blocking_caller();
    blocking_caller(const blocking_caller &) = delete;
    blocking_caller &operator=(const blocking_caller &) = delete;

    /// Sends a chat request with @p nonce in its body. False when the answer's body is not exactly the request's.
    bool ask(const std::string &nonce);

    /// Asks for a stream and waits for its first bytes. False when there is none.
    bool openStream();

private:
    bool sendRequest(const std::string &body);
    bool readMore();

    int m_socket = -1;
    std::string m_received;
};

} // namespace chervilbend::measure
