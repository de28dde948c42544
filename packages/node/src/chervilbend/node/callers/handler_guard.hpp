#pragma once

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace chervilbend::node
{

/// Runs @p handler to its end. Returns the message of the exception that ended it; no value if none did. A cancellation is passed on.
boost::asio::awaitable<std::optional<std::string>> failureOf(boost::asio::awaitable<void> handler);

} // namespace chervilbend::node
