#include <chervilbend/node/callers/request_relay.hpp>

#include <chervilbend/node/callers/endpoint_reachability.hpp>
#include <chervilbend/routing/helper_nodes.hpp>

#include <vector>

namespace chervilbend::node
{

request_relay::request_relay(const fleet::request_codec &codec, const endpoint_reachability &reachability, const routing::helper_nodes &helpers)
    : m_protocol(codec)
    , m_reachability(reachability)
    , m_helpers(helpers)
{
}

bool request_relay::isNeeded() const
{
    return m_reachability.isStranded();
}

std::optional<net::address> request_relay::chooseHelper(const std::set<net::address> &tried, bool hasAccount)
{
    const std::vector<routing::helper_node> &helpers = m_helpers.helpers();
    for (std::size_t i = 0; i < helpers.size(); ++i) {
        const routing::helper_node &helper = helpers[(m_rotation + i) % helpers.size()];
        std::optional<net::address> address = net::parseAddress(helper.address);
        if (address && !tried.contains(*address) && (helper.takesAccounts || !hasAccount)) {
            ++m_rotation;
            return address;
        }
    }
    return std::nullopt;
}

} // namespace chervilbend::node
