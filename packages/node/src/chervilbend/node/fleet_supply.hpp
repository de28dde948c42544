#pragma once

#include <chervilbend/node/callers/item_provider.hpp>

namespace chervilbend::fleet
{
class holder_link;
class known_residency;
} // namespace chervilbend::fleet

namespace chervilbend::node
{

/// item_supply through the holder of the command lease.
class fleet_supply : public item_provider
{
public:
    fleet_supply(fleet::known_residency &residency, fleet::holder_link &holder);

    boost::asio::awaitable<bool> waitUntilAvailable(fleet::wanted_item item, base::time_point until) override;
    void reportMissing(const base::endpoint_id &endpoint, const fleet::wanted_item &item) override;

private:
    fleet::known_residency &m_residency;
    fleet::holder_link &m_holder;
};

} // namespace chervilbend::node
