#pragma once

#include <chervilbend/node/callers/item_supply.hpp>

namespace chervilbend::fleet
{
class endpoint_registry;
class residency_view;
} // namespace chervilbend::fleet

namespace chervilbend::node
{

/// item_supply that looks only at what engines hold already.
class platform_supply : public item_supply
{
public:
    platform_supply(const fleet::endpoint_registry &registry, const fleet::residency_view &residency);

    boost::asio::awaitable<bool> supply(base::service_id service, std::string model, std::string adapter, base::time_point deadline) override;

private:
    const fleet::endpoint_registry &m_registry;
    const fleet::residency_view &m_residency;
};

} // namespace chervilbend::node
