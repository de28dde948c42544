#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chervilbend::measure
{

/// The suspect requests that each node knows of. Suspicions are exchanged with probes; new ones are also sent immediately to the nodes of
/// the same zone.
class gossip_model
{
public:
    using suspicion = std::pair<std::uint64_t, int>;

    explicit gossip_model(std::size_t nodes);

    /// Merges suspicions into those that the node knows. Returns those that are new to it.
    std::vector<suspicion> merge(std::size_t node, const std::vector<suspicion> &suspicions);
    /// Merges everything that node @p from knows. Returns what is new to @p node.
    std::vector<suspicion> receive(std::size_t node, std::size_t from);

private:
    std::vector<std::map<std::uint64_t, int>> m_known;
};

} // namespace chervilbend::measure
