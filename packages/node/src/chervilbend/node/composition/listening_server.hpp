#pragma once

#include <chervilbend/base/reason.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::net
{
class http_server;
}

namespace chervilbend::node
{

/// A server and the address on which it is to listen, as IP:PORT.
struct listening_server {
    std::shared_ptr<net::http_server> server;
    std::string address;
};

/// Has the servers listen one after the other; waits while an address is in use. No value if all listen, otherwise why the first of the others cannot.
boost::asio::awaitable<std::optional<base::reason>> listenOnAll(std::vector<listening_server> servers);

} // namespace chervilbend::node
