#include <chervilbend/measure/sim/gossip_model.hpp>

namespace chervilbend::measure
{

gossip_model::gossip_model(std::size_t nodes)
    : m_known(nodes)
{
}

std::vector<gossip_model::news> gossip_model::note(std::size_t node, const std::vector<news> &own)
{
    std::vector<news> fresh;
    for (const auto &[fingerprint, crashes] : own) {
        int &known = m_known[node][fingerprint];
        if (crashes > known) {
            known = crashes;
            fresh.emplace_back(fingerprint, crashes);
        }
    }
    return fresh;
}

std::vector<gossip_model::news> gossip_model::hear(std::size_t node, std::size_t from)
{
    const std::vector<news> all(m_known[from].begin(), m_known[from].end());
    return note(node, all);
}

} // namespace chervilbend::measure
