#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_update.hpp>

#include <boost/asio/awaitable.hpp>

namespace chervilbend::node
{

/// Makes models and adapters available on endpoints on demand.
class item_provider
{
public:
    virtual ~item_provider() = default;

    /// Waits until an endpoint that accepts new work holds the item. False if there is none by @p until.
    virtual boost::asio::awaitable<bool> waitUntilAvailable(fleet::requested_item item, base::time_point until) = 0;

    /// Reports that @p endpoint refused a request because it does not hold the item.
    virtual void reportMissing(const base::endpoint_id &endpoint, const fleet::requested_item &item) = 0;
};

} // namespace chervilbend::node
