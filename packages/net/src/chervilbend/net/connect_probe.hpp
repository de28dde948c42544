#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/address.hpp>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace chervilbend::net
{

/// Opens a TCP connection to each address at the same time and closes them. True as soon as one is accepted, false if none is within @p timeout.
boost::asio::awaitable<bool> canConnectToAny(std::vector<address> servers, base::milliseconds timeout);

} // namespace chervilbend::net
