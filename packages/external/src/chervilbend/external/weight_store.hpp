#pragma once

#include <chervilbend/base/reason_holder.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace chervilbend::external
{

/// Capacity and load of the weight store.
struct weight_store_status {
    /// Model loads that may start per second.
    double loadsPerSecond = 2;
    /// Concurrent model loads at full speed.
    int slots = 4;
    /// Concurrent adapter loads above which each takes proportionally longer.
    int adapterSlots = 30;
    /// Model loads in progress.
    int inTransit = 0;
};

/// The rate-limited store that engines load weights from. This system only reads its status, to limit the rate of loads.
class weight_store : public base::reason_holder
{
public:
    virtual ~weight_store() = default;

    virtual boost::asio::awaitable<std::optional<weight_store_status>> status() = 0;
};

} // namespace chervilbend::external
