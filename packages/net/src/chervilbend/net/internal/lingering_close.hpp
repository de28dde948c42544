#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace chervilbend::net
{

class connection;

/// Ends the sending side and discards what still comes, for @p duration at most. Closing a socket with unread data resets the connection, and the reset can
/// overtake the last answer.
boost::asio::awaitable<void> lingeringClose(std::shared_ptr<connection> last, base::milliseconds duration);

} // namespace chervilbend::net
