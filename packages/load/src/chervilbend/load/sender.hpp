#pragma once

#include <chervilbend/load/attempt.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chervilbend::load
{

/// Sends one request and fills in what came back.
class sender
{
public:
    /// A completion. @p expected is the text that belongs to the request's own prompt.
    boost::asio::awaitable<attempt> complete(attempt entry, net::address node, std::string body, std::string expected, bool stream, base::milliseconds timeout);

    /// An order with the key @p entry.subject; @p isFirst marks the caller's first attempt.
    boost::asio::awaitable<attempt> order(attempt entry, net::address node, std::string path, bool isFirst, base::milliseconds timeout);

private:
    net::http_client m_client;
};

} // namespace chervilbend::load
