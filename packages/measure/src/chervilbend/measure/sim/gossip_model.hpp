#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chervilbend::measure
{

/// What each node knows of suspect requests. Suspicions ride on probes, and new ones go at once to the nodes of the own zone.
class gossip_model
{
public:
    using news = std::pair<std::uint64_t, int>;

    explicit gossip_model(std::size_t nodes);

    /// Takes over what a node itself suspects. Gives what is new.
    std::vector<news> note(std::size_t node, const std::vector<news> &own);
    /// A node has heard from another. Gives what is new to it.
    std::vector<news> hear(std::size_t node, std::size_t from);

private:
    std::vector<std::map<std::uint64_t, int>> m_known;
};

} // namespace chervilbend::measure
