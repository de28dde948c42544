#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace chervilbend::soak
{

/// Checks that each node becomes ready in time after all nodes were killed.
///
/// The time of a node begins anew as long as something keeps it from becoming ready that is no failure of its own: no server is up, the store doesn't answer
/// as usual, or the node is stopped, started or cut off.
class recovery_watch
{
public:
    /// How long after the machines are back the system has to serve again (`recoveryS` of the deployments).
    static constexpr base::milliseconds recoveryBound{12'000};

    struct late_node {
        std::size_t node = 0;
        base::time_point killedAt;
        /// When the last obstacle ended.
        base::time_point freeSince;
    };

    explicit recovery_watch(std::size_t nodes);

    void onAllKilled(base::time_point at = base::clock::now());
    /// The node can't become ready now.
    void onObstacle(std::size_t node, base::time_point at = base::clock::now());
    /// The node was asked at that time whether it is ready. An answer that it is not, or none, that was asked for after the bound is reported once for a kill.
    void onAsked(std::size_t node, base::time_point at, bool isReady);

    const std::vector<late_node> &lateNodes() const
    {
        return m_late;
    }
    /// How often all nodes were killed.
    std::size_t kills() const
    {
        return m_kills;
    }

private:
    struct node_state {
        /// No value once the node is ready.
        std::optional<base::time_point> killedAt;
        base::time_point freeSince;
    };

    std::vector<node_state> m_nodes;
    std::vector<late_node> m_late;
    std::size_t m_kills = 0;
};

} // namespace chervilbend::soak
