#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace chervilbend::net
{
class http_exchange;
}

namespace chervilbend::node
{

/// Runs @p handler, which answers @p exchange, to its end. Returns the message of the exception that ended it; no value if none did. A cancellation is logged
/// as the end of the request, which @p attempt names, and passed on.
boost::asio::awaitable<std::optional<std::string>>
    failureOf(boost::asio::awaitable<void> handler, std::shared_ptr<net::http_exchange> exchange, std::string attempt);

} // namespace chervilbend::node
