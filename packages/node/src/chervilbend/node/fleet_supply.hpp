#pragma once

#include <chervilbend/node/callers/item_provider.hpp>

namespace chervilbend::fleet
{
class holder_client;
class known_residency;
} // namespace chervilbend::fleet

namespace chervilbend::node
{

/// Requests missing items from the holder of the command lease, which loads them at the engines.
class fleet_supply : public item_provider
{
public:
    /// Both references must outlive the object.
    fleet_supply(fleet::known_residency &residency, fleet::holder_client &holder);

    boost::asio::awaitable<bool> waitUntilAvailable(fleet::requested_item item, base::time_point until) override;
    void reportMissing(const base::endpoint_id &endpoint, const fleet::requested_item &item) override;

private:
    fleet::known_residency &m_residency;
    fleet::holder_client &m_holder;
};

} // namespace chervilbend::node
