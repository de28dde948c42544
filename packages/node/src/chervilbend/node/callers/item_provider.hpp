#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_news.hpp>

#include <boost/asio/awaitable.hpp>

namespace chervilbend::node
{

/// Models and adapters that requests need.
class item_provider
{
public:
    virtual ~item_provider() = default;

    /// Waits until an endpoint that takes new work holds the item, at most until @p until. False when none does.
    virtual boost::asio::awaitable<bool> waitUntilAvailable(fleet::wanted_item item, base::time_point until) = 0;

    /// An endpoint refused a request because it does not hold the item.
    virtual void reportMissing(const base::endpoint_id &endpoint, const fleet::wanted_item &item) = 0;
};

} // namespace chervilbend::node
