#pragma once

#include <cstdint>
#include <string>

namespace chervilbend::measure
{

/// A caller with one connection and blocking I/O. Without an event loop its own cost is one write and one read per request.
class blocking_caller
{
public:
    explicit blocking_caller(std::uint16_t port);
    ~blocking_caller();
    blocking_caller(const blocking_caller &) = delete;
    blocking_caller &operator=(const blocking_caller &) = delete;

    /// Sends a chat request with @p nonce in its body. Returns false unless the answer's body is identical to the request's.
    bool sendChat(const std::string &nonce);

    /// Sends a request as it is. Returns false unless the answer is 200 and has the body.
    bool exchange(const std::string &request, const std::string &answerBody);

    /// Requests a stream and waits for its first event. Returns false if none arrives.
    bool openStream();

private:
    bool send(const std::string &request);
    static std::string chatRequest(const std::string &body);
    bool readMore();

    int m_socket = -1;
    std::string m_received;
};

} // namespace chervilbend::measure
