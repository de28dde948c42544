#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_update.hpp>

#include <boost/asio/awaitable.hpp>

namespace chervilbend::node
{

/// Models and adapters that requests need.
class item_supply
{
public:
    virtual ~item_supply() = default;

    /// Waits until an endpoint that takes new work holds the item, at most until @p until. False when none does.
    virtual boost::asio::awaitable<bool> supply(fleet::requested_item item, base::time_point until) = 0;

    /// An endpoint refused a request because it does not hold the item.
    virtual void noteMissing(const base::endpoint_id &endpoint, const fleet::requested_item &item) = 0;
};

} // namespace chervilbend::node
