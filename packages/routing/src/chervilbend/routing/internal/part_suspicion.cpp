#include <chervilbend/routing/internal/part_suspicion.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// Processes that are kept for a part. A node must know most processes that a part has crashed, to see that it explains the losses of other parts.
constexpr std::size_t maxLossesPerPart = 64;
/// Losses within this time count as one moment: nodes do not notice the end of endpoints that fail together at the same time.
constexpr base::milliseconds momentLength{250};

std::size_t momentsOf(const std::map<std::uint64_t, base::time_point> &losses)
{
    std::vector<base::time_point> times;
    times.reserve(losses.size());
    for (const auto &[process, when] : losses) {
        times.push_back(when);
    }
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    base::time_point momentStart;
    for (const base::time_point when : times) {
        if (moments == 0 || when >= momentStart + momentLength) {
            momentStart = when;
            ++moments;
        }
    }
    return moments;
}

} // namespace

bool part_suspicion::add(std::uint64_t process, base::time_point when)
{
    if (!losses.try_emplace(process, when).second) {
        return false;
    }
    lastLoss = std::max(lastLoss, when);
    if (losses.size() > maxLossesPerPart) {
        losses.erase(std::min_element(losses.begin(), losses.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    return true;
}

void part_suspicion::noteOtherAnswer(base::time_point when)
{
    otherAnswer = otherAnswer ? std::max(*otherAnswer, when) : when;
}

std::map<std::uint64_t, base::time_point> part_suspicion::lossesSince(std::optional<base::time_point> since) const
{
    std::map<std::uint64_t, base::time_point> later;
    for (const auto &[process, when] : losses) {
        if (!since || when > *since) {
            later.emplace(process, when);
        }
    }
    return later;
}

std::map<std::uint64_t, attributed_losses> attributeLosses(std::vector<refusal_candidate> candidates, const refusal_thresholds &thresholds)
{
    std::sort(candidates.begin(), candidates.end(), [](const refusal_candidate &a, const refusal_candidate &b) { return a.losses.size() > b.losses.size(); });
    std::map<std::uint64_t, attributed_losses> refused;
    std::set<std::uint64_t> explained;
    std::set<std::uint64_t> lostWithOthers;
    // Of parts with the same number of losses none is the likelier cause, so that they do not explain each other's.
    std::vector<std::uint64_t> explainedByEquals;
    std::vector<std::uint64_t> lostWithEquals;
    std::size_t lossesOfEquals = 0;
    for (refusal_candidate &each : candidates) {
        if (each.losses.size() != lossesOfEquals) {
            explained.insert(explainedByEquals.begin(), explainedByEquals.end());
            lostWithOthers.insert(lostWithEquals.begin(), lostWithEquals.end());
            explainedByEquals.clear();
            lostWithEquals.clear();
            lossesOfEquals = each.losses.size();
        }
        for (const auto &[process, when] : each.losses) {
            lostWithEquals.push_back(process);
        }
        const std::set<std::uint64_t> &ignored = each.needsSeveralMoments ? lostWithOthers : explained;
        std::erase_if(each.losses, [&](const auto &loss) { return ignored.contains(loss.first); });
        const std::size_t evidence = each.needsSeveralMoments ? momentsOf(each.losses) : each.losses.size();
        if (each.isUnproven || evidence < thresholds.refusal) {
            continue;
        }
        const std::size_t certainEvidence = each.needsSeveralMoments ? thresholds.refusal + 1 : thresholds.certainty;
        refused.emplace(each.part, attributed_losses{each.losses.size(), each.losses.size() >= thresholds.certainty && evidence >= certainEvidence});
        for (const auto &[process, when] : each.losses) {
            explainedByEquals.push_back(process);
        }
    }
    return refused;
}

} // namespace chervilbend::routing
