#include <chervilbend/fleet/holder_configuration_provider.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_read_json.hpp>
#include <chervilbend/fleet/configuration_read_method.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/peers/rpc_caller.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// Until the answer begins, and between two parts of it. It allows for a holder whose event loop is late.
constexpr base::milliseconds answerTimeout{700};

const log4cxx::LoggerPtr &configLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("config");
    return logger;
}

} // namespace

holder_configuration_provider::holder_configuration_provider(base::node_id node, const command_lease &lease, peers::rpc_caller &peers)
    : m_node(std::move(node))
    , m_lease(lease)
    , m_peers(peers)
{
}

asio::awaitable<std::optional<remote_configuration>> holder_configuration_provider::newerThan(std::optional<std::int64_t> version)
{
    const std::optional<lease_record> current = m_lease.holder();
    const std::optional<lease_record> holder = current ? current : m_lease.lastHolder();
    const std::optional<net::address> address = holder && holder->holder != m_node ? net::parseAddress(holder->peerAddress) : std::nullopt;
    if (!address) {
        co_return std::nullopt;
    }
    const Json::Value message = toJson(configuration_request{m_node, version});
    const std::optional<Json::Value> json = co_await m_peers.call(*address, configurationReadMethodName, message, answerTimeout);
    if (!json) {
        LOG4CXX_DEBUG(configLog(), base::log_event("configurationNotTaken").with("node", holder->holder.value()).with("why", m_peers.lastReason().text).text());
        co_return std::nullopt;
    }
    co_return readRemoteConfiguration(*json);
}

} // namespace chervilbend::fleet
