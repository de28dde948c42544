#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chervilbend::node
{

/// Models and adapters that requests need.
class item_supply
{
public:
    virtual ~item_supply() = default;

    /// Waits until an endpoint that takes new work holds the item, at most until @p deadline. False when none does.
    virtual boost::asio::awaitable<bool> supply(base::service_id service, std::string model, std::string adapter, base::time_point deadline) = 0;
};

} // namespace chervilbend::node
