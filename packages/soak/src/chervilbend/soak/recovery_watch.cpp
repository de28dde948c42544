#include <chervilbend/soak/recovery_watch.hpp>

#include <algorithm>

namespace chervilbend::soak
{

recovery_watch::recovery_watch(std::size_t nodes)
    : m_nodes(nodes)
{
}

void recovery_watch::onAllKilled(base::time_point at)
{
    ++m_kills;
    for (node_state &node : m_nodes) {
        node = {at, at};
    }
}

void recovery_watch::onObstacle(std::size_t node, base::time_point at)
{
    m_nodes[node].freeSince = std::max(m_nodes[node].freeSince, at);
}

void recovery_watch::onAsked(std::size_t node, base::time_point at, bool isReady)
{
    node_state &state = m_nodes[node];
    if (!state.killedAt || at <= *state.killedAt) {
        return;
    }
    if (!isReady && at < state.freeSince + recoveryBound) {
        return;
    }
    if (!isReady) {
        m_late.push_back({node, *state.killedAt, state.freeSince});
    }
    state.killedAt.reset();
}

} // namespace chervilbend::soak
