#include <chervilbend/membership/rendezvous.hpp>

#include <chervilbend/base/hash.hpp>

#include <algorithm>

namespace chervilbend::membership
{

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return base::hash64(node, base::hash64(key));
}

std::vector<base::node_id> holderCandidates(std::vector<base::node_id> eligible)
{
    const auto byHash = [](const base::node_id &left, const base::node_id &right) {
        const std::uint64_t leftHash = base::hash64(left.value());
        const std::uint64_t rightHash = base::hash64(right.value());
        return leftHash != rightHash ? leftHash < rightHash : left < right;
    };
    std::sort(eligible.begin(), eligible.end(), byHash);
    eligible.resize(std::min(eligible.size(), maxHolders));
    return eligible;
}

base::node_id intendedHolder(const base::lease_name &lease, const std::vector<base::node_id> &candidates)
{
    base::node_id best;
    std::uint64_t bestWeight = 0;
    const std::uint64_t seed = base::hash64(lease.value());
    for (const base::node_id &candidate : candidates) {
        const std::uint64_t weight = base::hash64(candidate.value(), seed);
        if (best.empty() || weight > bestWeight || (weight == bestWeight && candidate < best)) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace chervilbend::membership
