#include <chervilbend/node/fleet_supply.hpp>

#include <chervilbend/fleet/holder_client.hpp>
#include <chervilbend/fleet/known_residency.hpp>

#include <utility>

namespace chervilbend::node
{

fleet_supply::fleet_supply(fleet::known_residency &residency, fleet::holder_client &holder)
    : m_residency(residency)
    , m_holder(holder)
{
}

boost::asio::awaitable<bool> fleet_supply::waitUntilAvailable(fleet::requested_item item, base::time_point until)
{
    if (m_residency.isHeld(item)) {
        co_return true;
    }
    co_return co_await m_holder.ensureLoaded(std::move(item), until);
}

void fleet_supply::reportMissing(const base::endpoint_id &endpoint, const fleet::requested_item &item)
{
    m_residency.noteMissing(endpoint, item.model, item.adapter);
}

} // namespace chervilbend::node
