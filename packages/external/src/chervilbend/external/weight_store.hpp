#pragma once

#include <chervilbend/base/reason_holder.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace chervilbend::external
{

/// How much the weight store can deliver.
struct weight_store_status {
    /// Model loads that may start in a second.
    double loadsPerSecond = 2;
    /// Model loads at once at full speed.
    int slots = 4;
    /// Adapters in transit at once before each takes proportionally longer.
    int adapterSlots = 30;
    /// Model loads in transit now.
    int inTransit = 0;
};

/// The rate-limited store that engines load weights from. The system only asks it for its state, to pace the loads.
class weight_store : public base::reason_holder
{
public:
    virtual ~weight_store() = default;

    virtual boost::asio::awaitable<std::optional<weight_store_status>> status() = 0;
};

} // namespace chervilbend::external
