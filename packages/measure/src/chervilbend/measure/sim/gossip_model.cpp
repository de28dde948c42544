#include <chervilbend/measure/sim/gossip_model.hpp>

namespace chervilbend::measure
{

gossip_model::gossip_model(std::size_t nodes)
    : m_known(nodes)
{
}

std::vector<gossip_model::suspicion> gossip_model::merge(std::size_t node, const std::vector<suspicion> &suspicions)
{
    std::vector<suspicion> added;
    for (const auto &[fingerprint, crashes] : suspicions) {
        int &known = m_known[node][fingerprint];
        if (crashes > known) {
            known = crashes;
            added.emplace_back(fingerprint, crashes);
        }
    }
    return added;
}

std::vector<gossip_model::suspicion> gossip_model::receive(std::size_t node, std::size_t from)
{
    const std::vector<suspicion> all(m_known[from].begin(), m_known[from].end());
    return merge(node, all);
}

} // namespace chervilbend::measure
