#pragma once

#include <chervilbend/load/attempt.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chervilbend::load
{

/// Sends one request and records the result in the attempt.
class sender
{
public:
    /// Sends a completion request. @p expected is the text that a fake engine generates for the prompt.
    boost::asio::awaitable<attempt>
        sendCompletion(attempt entry, net::address node, std::string body, std::string expected, bool isStream, base::milliseconds timeout);

    /// Sends an order with the idempotency key @p entry.subject; @p marksFirstAttempt sets the header field for a first attempt.
    boost::asio::awaitable<attempt> sendOrder(attempt entry, net::address node, std::string path, bool marksFirstAttempt, base::milliseconds timeout);

private:
    net::http_client m_client;
};

} // namespace chervilbend::load
