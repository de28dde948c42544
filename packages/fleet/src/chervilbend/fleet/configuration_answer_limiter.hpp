#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <map>

namespace chervilbend::fleet
{

/// Bounds the configurations that a node sends to other nodes: one at a time, and none to a node that has got one shortly before. An answer counts as
/// being sent for as long as it takes on a part of the host's link, since the sender is not told when it has arrived.
class configuration_answer_limiter
{
public:
    /// @p linkMegabits is the rate of the host's link in Mbit/s; above 0.
    explicit configuration_answer_limiter(double linkMegabits);

    /// Whether an answer of @p bytes may be sent to @p node now. If so, it counts as sent.
    bool tryStart(const base::node_id &node, std::size_t bytes);

    /// Size of the largest record that is sent; it bounds the memory for the answer. A record of the largest fleets, with some thousands of routes, has less
    /// than a quarter of it. How long it takes on a thin link is bounded by the asking node, which waits while bytes arrive.
    static constexpr std::size_t maxBytes = std::size_t{4} * 1'024 * 1'024;
    /// Least time between two answers to one node. It is less than the shortest interval at which a node learns of newer versions from the lease holder,
    /// 250 ms, so that a node that follows each version is not refused.
    static constexpr base::milliseconds minInterval{200};

private:
    double m_bytesPerMs;
    base::time_point m_busyUntil;
    /// When each node that got an answer within minInterval got it.
    std::map<base::node_id, base::time_point> m_answeredAt;
};

} // namespace chervilbend::fleet
