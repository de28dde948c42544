#include <chervilbend/node/composition/listening_server.hpp>

#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_server.hpp>

namespace chervilbend::node
{

boost::asio::awaitable<std::optional<base::reason>> listenOnAll(std::vector<listening_server> servers)
{
    for (const listening_server &each : servers) {
        const net::address local = net::parseAddress(each.address).value_or(net::address{});
        const bool isListening = co_await each.server->listenWhenFree(local);
        if (!isListening) {
            co_return each.server->lastReason();
        }
    }
    co_return std::nullopt;
}

} // namespace chervilbend::node
