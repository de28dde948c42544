#include <chervilbend/placement/internal/place_finder.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::placement
{

place_finder::place_finder(const placement_planner &planner, const cluster_model &cluster)
    : m_planner(planner)
    , m_settings(planner.m_settings)
    , m_cluster(cluster)
{
}

std::optional<candidate_place> place_finder::placeAt(std::size_t model, std::size_t endpoint, std::int64_t bytes, eviction_limit limit) const
{
    const endpoint_record &target = m_cluster.endpoints[endpoint];
    if (!target.usable || m_cluster.copyAt(model, endpoint)) {
        return std::nullopt;
    }
    candidate_place place;
    place.endpoint = endpoint;
    if (target.free >= bytes) {
        return place;
    }
    if (target.free + target.dropping >= bytes) {
        place.waitsForDrops = true;
        return place;
    }
    if (target.memory < bytes || !findVictims(place, bytes, limit, model)) {
        return std::nullopt;
    }
    return place;
}

bool place_finder::findVictims(candidate_place &place, std::int64_t bytes, eviction_limit limit, std::size_t forModel) const
{
    const endpoint_record &target = m_cluster.endpoints[place.endpoint];
    std::vector<std::pair<double, std::size_t>> candidates;
    for (const std::size_t item : target.items) {
        const item_record &record = m_cluster.items[item];
        const item_copy *copy = m_cluster.copyAt(item, place.endpoint);
        const int minCopies = limit == eviction_limit::downToOne ? 1 : record.copies;
        if (!m_cluster.isModel(item) || item == forModel || !copy->isCounted || m_cluster.countedCopies(item) <= minCopies
            || !m_cluster.mayDrop(item, place.endpoint)) {
            continue;
        }
        const double utilisation = m_cluster.utilisationWithout(record, place.endpoint);
        // Only the overload that the drop adds counts, not the load of other models at the endpoints that keep a copy.
        const double overload =
            std::max(0.0, utilisation - std::max(m_settings.maxUtilisationAfterDrop, record.utilisation)) * (m_cluster.countedCopies(item) - 1);
        const double coldCacheLoss =
            copy->share * static_cast<double>(m_settings.coldCacheCost.count()) / static_cast<double>(m_settings.paybackPeriod.count());
        const bool breaksZoneSpread = limit == eviction_limit::downToDeclared && !keepsZoneSpread(item, place.endpoint);
        if (!breaksZoneSpread) {
            candidates.emplace_back(overload + coldCacheLoss, item);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::int64_t available = target.free + target.dropping;
    for (const auto &[loss, item] : candidates) {
        if (available >= bytes) {
            break;
        }
        place.victims.push_back(item);
        place.loss += loss;
        available += m_cluster.items[item].bytes;
        for (const std::size_t adapter : m_cluster.items[item].adapters) {
            const item_copy *copy = m_cluster.copyAt(adapter, place.endpoint);
            available += copy && copy->state != state::residency::dropping ? m_cluster.items[adapter].bytes : 0;
        }
    }
    return available >= bytes;
}

std::optional<candidate_place> place_finder::placeToRestore(std::size_t model, std::int64_t bytes, eviction_limit limit) const
{
    // Order of preference: endpoints that did not time out, other zones, reserved memory, neither waiting nor eviction, the least load.
    constexpr double copyInZonePenalty = 1'000;
    constexpr double reservationBonus = 500;
    constexpr double avoidedPenalty = 2'000;
    constexpr double waitPenalty = 50;
    constexpr double evictionPenalty = 100;
    const item_record &record = m_cluster.items[model];
    std::optional<candidate_place> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        std::optional<candidate_place> place = placeAt(model, endpoint, bytes, limit);
        if (!place) {
            continue;
        }
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        place->value = -target.load - copyInZonePenalty * m_cluster.copiesInZone(model, target.zone) - (place->waitsForDrops ? waitPenalty : 0)
            - (place->victims.empty() ? 0 : evictionPenalty + place->loss);
        place->value += isReservedFor(model, endpoint) ? reservationBonus : 0;
        place->value -= m_planner.m_avoidUntil.contains({target.id, record.id}) ? avoidedPenalty : 0;
        if (!best || place->value > best->value) {
            best = std::move(place);
        }
    }
    return best;
}

std::optional<candidate_place> place_finder::placeByRelocation(std::size_t model, std::int64_t bytes) const
{
    std::vector<std::pair<double, std::size_t>> byLoad;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        const bool isAvoided = m_planner.m_avoidUntil.contains({target.id, m_cluster.items[model].id});
        if (target.usable && target.memory >= bytes && !m_cluster.copyAt(model, endpoint) && !isReservedForOther(model, endpoint) && !isAvoided) {
            byLoad.emplace_back(target.load, endpoint);
        }
    }
    // A copy gains most at the least loaded endpoints; the limit bounds the search time with many endpoints.
    constexpr std::size_t maxCandidates = 12;
    std::sort(byLoad.begin(), byLoad.end());
    byLoad.resize(std::min(byLoad.size(), maxCandidates));
    std::optional<candidate_place> best;
    for (const auto &[load, endpoint] : byLoad) {
        candidate_place place;
        place.endpoint = endpoint;
        findVictims(place, bytes, eviction_limit::downToDeclared, model);
        if (addRelocations(place, bytes, model)) {
            constexpr double relocationPenalty = 0.1;
            place.value = -load - place.loss - relocationPenalty * static_cast<double>(place.relocations.size());
            if (!best || place.value > best->value) {
                best = std::move(place);
            }
        }
    }
    return best;
}

bool place_finder::addRelocations(candidate_place &place, std::int64_t bytes, std::size_t forModel) const
{
    const endpoint_record &target = m_cluster.endpoints[place.endpoint];
    std::int64_t available = target.free + target.dropping;
    for (const std::size_t victim : place.victims) {
        available += m_cluster.bundleBytes(victim);
    }
    std::vector<std::pair<double, std::size_t>> candidates;
    for (const std::size_t item : target.items) {
        const item_copy *copy = m_cluster.copyAt(item, place.endpoint);
        const bool isVictim = std::find(place.victims.begin(), place.victims.end(), item) != place.victims.end();
        // A model takes its load along to the new endpoint, so only little used ones are relocated.
        if (m_cluster.isModel(item) && item != forModel && copy->isCounted && copy->state == state::residency::loaded && !isVictim
            && copy->share < m_settings.scaleDownUtilisation) {
            candidates.emplace_back(copy->share, item);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::map<std::size_t, std::int64_t> plannedBytes;
    for (const auto &[share, item] : candidates) {
        if (available >= bytes) {
            break;
        }
        if (const std::optional<std::size_t> destination = relocationTarget(item, place.endpoint, plannedBytes)) {
            plannedBytes[*destination] += m_cluster.bundleBytes(item);
            place.relocations.emplace_back(item, *destination);
            place.loss += share * static_cast<double>(m_settings.coldCacheCost.count()) / static_cast<double>(m_settings.paybackPeriod.count());
            available += m_cluster.bundleBytes(item);
        }
    }
    return available >= bytes && !place.relocations.empty();
}

std::optional<std::size_t> place_finder::relocationTarget(std::size_t model, std::size_t from, const std::map<std::size_t, std::int64_t> &plannedBytes) const
{
    const item_record &record = m_cluster.items[model];
    const int requiredZones = std::min(record.copies, m_cluster.usableZones);
    const bool lastInZone = m_cluster.copiesInZone(model, m_cluster.endpoints[from].zone) == 1;
    const int remainingZones = m_cluster.zoneCount(model) - (lastInZone ? 1 : 0);
    const std::int64_t bytes = m_cluster.bundleBytes(model);
    std::optional<std::size_t> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        const auto alreadyPlanned = plannedBytes.find(endpoint);
        const std::int64_t free = target.free - (alreadyPlanned == plannedBytes.end() ? 0 : alreadyPlanned->second);
        const bool addsZone = m_cluster.copiesInZone(model, target.zone) == 0 || (lastInZone && target.zone == m_cluster.endpoints[from].zone);
        if (endpoint == from || !target.usable || free < bytes || m_cluster.copyAt(model, endpoint) || remainingZones + (addsZone ? 1 : 0) < requiredZones
            || isReservedForOther(model, endpoint)) {
            continue;
        }
        // Best fit: leaves the larger gaps for larger models.
        if (!best || free < m_cluster.endpoints[*best].free) {
            best = endpoint;
        }
    }
    return best;
}

bool place_finder::isReservedForOther(std::size_t model, std::size_t endpoint) const
{
    const auto &reservations = m_planner.m_reservations;
    return std::any_of(reservations.begin(), reservations.end(), [&](const auto &entry) {
        return entry.first != m_cluster.items[model].id && entry.second.contains(m_cluster.endpoints[endpoint].id);
    });
}

bool place_finder::isReservedFor(std::size_t model, std::size_t endpoint) const
{
    const auto reservations = m_planner.m_reservations.find(m_cluster.items[model].id);
    return reservations != m_planner.m_reservations.end() && reservations->second.contains(m_cluster.endpoints[endpoint].id);
}

int place_finder::reservationCount(std::size_t model) const
{
    const auto reservations = m_planner.m_reservations.find(m_cluster.items[model].id);
    return reservations == m_planner.m_reservations.end() ? 0 : static_cast<int>(reservations->second.size());
}

bool place_finder::keepsZoneSpread(std::size_t model, std::size_t endpoint) const
{
    const int requiredZones = std::min(m_cluster.items[model].copies, m_cluster.usableZones);
    const bool lastInZone = m_cluster.copiesInZone(model, m_cluster.endpoints[endpoint].zone) == 1;
    return m_cluster.zoneCount(model) - (lastInZone ? 1 : 0) >= requiredZones;
}

} // namespace chervilbend::placement
