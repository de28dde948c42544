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

std::optional<candidate_place> place_finder::placeAt(std::size_t model, std::size_t endpoint, std::int64_t bytes, eviction bound) const
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
        place.waits = true;
        return place;
    }
    if (target.memory < bytes || !findVictims(place, bytes, bound, model)) {
        return std::nullopt;
    }
    return place;
}

bool place_finder::findVictims(candidate_place &place, std::int64_t bytes, eviction bound, std::size_t forModel) const
{
    const endpoint_record &target = m_cluster.endpoints[place.endpoint];
    std::vector<std::pair<double, std::size_t>> options;
    for (const std::size_t item : target.items) {
        const item_record &record = m_cluster.items[item];
        const item_copy *copy = m_cluster.copyAt(item, place.endpoint);
        const int floor = bound == eviction::downToOne ? 1 : record.copies;
        if (!m_cluster.isModel(item) || item == forModel || !copy->counts || m_cluster.countedCopies(item) <= floor
            || !m_cluster.mayDrop(item, place.endpoint)) {
            continue;
        }
        const double level = m_cluster.levelWithout(record, place.endpoint);
        // Work of other models at the endpoints that keep a copy is no loss of this one: only what its drop adds counts.
        const double overload = std::max(0.0, level - std::max(m_settings.maxUtilisationAfterDrop, record.level)) * (m_cluster.countedCopies(item) - 1);
        const double cold = copy->share * static_cast<double>(m_settings.coldCacheCost.count()) / static_cast<double>(m_settings.paybackPeriod.count());
        const bool breaksZones = bound == eviction::downToDeclared && !keepsZones(item, place.endpoint);
        if (!breaksZones) {
            options.emplace_back(overload + cold, item);
        }
    }
    std::sort(options.begin(), options.end());
    std::int64_t room = target.free + target.dropping;
    for (const auto &[loss, item] : options) {
        if (room >= bytes) {
            break;
        }
        place.victims.push_back(item);
        place.loss += loss;
        room += m_cluster.items[item].bytes;
        for (const std::size_t adapter : m_cluster.items[item].adapters) {
            const item_copy *copy = m_cluster.copyAt(adapter, place.endpoint);
            room += copy && copy->state != state::residency::dropping ? m_cluster.items[adapter].bytes : 0;
        }
    }
    return room >= bytes;
}

std::optional<candidate_place> place_finder::placeToRestore(std::size_t model, std::int64_t bytes, eviction bound) const
{
    // Other zones first, then room that was made for it, then no need to wait or to evict, then the least load.
    constexpr double perCopyInZone = 1'000;
    constexpr double keptRoomBonus = 500;
    constexpr double avoidedPenalty = 2'000;
    constexpr double waitPenalty = 50;
    constexpr double evictionPenalty = 100;
    const item_record &record = m_cluster.items[model];
    std::optional<candidate_place> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        std::optional<candidate_place> place = placeAt(model, endpoint, bytes, bound);
        if (!place) {
            continue;
        }
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        place->value = -target.load - perCopyInZone * m_cluster.copiesInZone(model, target.zone) - (place->waits ? waitPenalty : 0)
            - (place->victims.empty() ? 0 : evictionPenalty + place->loss);
        place->value += isKeptFor(model, endpoint) ? keptRoomBonus : 0;
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
        if (target.usable && target.memory >= bytes && !m_cluster.copyAt(model, endpoint) && !isKeptForOther(model, endpoint) && !isAvoided) {
            byLoad.emplace_back(target.load, endpoint);
        }
    }
    // The least loaded endpoints are where a copy gains most; the bound keeps the search short with many endpoints.
    constexpr std::size_t maxTried = 12;
    std::sort(byLoad.begin(), byLoad.end());
    byLoad.resize(std::min(byLoad.size(), maxTried));
    std::optional<candidate_place> best;
    for (const auto &[load, endpoint] : byLoad) {
        candidate_place place;
        place.endpoint = endpoint;
        findVictims(place, bytes, eviction::downToDeclared, model);
        if (addRelocations(place, bytes, model)) {
            constexpr double perRelocation = 0.1;
            place.value = -load - place.loss - perRelocation * static_cast<double>(place.relocations.size());
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
    std::int64_t room = target.free + target.dropping;
    for (const std::size_t victim : place.victims) {
        room += m_cluster.bundleBytes(victim);
    }
    std::vector<std::pair<double, std::size_t>> options;
    for (const std::size_t item : target.items) {
        const item_copy *copy = m_cluster.copyAt(item, place.endpoint);
        const bool isVictim = std::find(place.victims.begin(), place.victims.end(), item) != place.victims.end();
        // What is used here would be used there as well; only what is hardly used makes room.
        if (m_cluster.isModel(item) && item != forModel && copy->counts && copy->state == state::residency::loaded && !isVictim
            && copy->share < m_settings.scaleDownUtilisation) {
            options.emplace_back(copy->share, item);
        }
    }
    std::sort(options.begin(), options.end());
    std::map<std::size_t, std::int64_t> taken;
    for (const auto &[share, item] : options) {
        if (room >= bytes) {
            break;
        }
        if (const std::optional<std::size_t> destination = relocationTarget(item, place.endpoint, taken)) {
            taken[*destination] += m_cluster.bundleBytes(item);
            place.relocations.emplace_back(item, *destination);
            place.loss += share * static_cast<double>(m_settings.coldCacheCost.count()) / static_cast<double>(m_settings.paybackPeriod.count());
            room += m_cluster.bundleBytes(item);
        }
    }
    return room >= bytes && !place.relocations.empty();
}

std::optional<std::size_t> place_finder::relocationTarget(std::size_t model, std::size_t from, const std::map<std::size_t, std::int64_t> &taken) const
{
    const item_record &record = m_cluster.items[model];
    const int zonesWanted = std::min(record.copies, m_cluster.usableZones);
    const bool lastInZone = m_cluster.copiesInZone(model, m_cluster.endpoints[from].zone) == 1;
    const int zonesLeft = m_cluster.zonesOf(model) - (lastInZone ? 1 : 0);
    const std::int64_t bytes = m_cluster.bundleBytes(model);
    std::optional<std::size_t> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        const auto already = taken.find(endpoint);
        const std::int64_t free = target.free - (already == taken.end() ? 0 : already->second);
        const bool addsZone = m_cluster.copiesInZone(model, target.zone) == 0 || (lastInZone && target.zone == m_cluster.endpoints[from].zone);
        if (endpoint == from || !target.usable || free < bytes || m_cluster.copyAt(model, endpoint) || zonesLeft + (addsZone ? 1 : 0) < zonesWanted
            || isKeptForOther(model, endpoint)) {
            continue;
        }
        // The tightest fit leaves the larger gaps for larger models.
        if (!best || free < m_cluster.endpoints[*best].free) {
            best = endpoint;
        }
    }
    return best;
}

bool place_finder::isKeptForOther(std::size_t model, std::size_t endpoint) const
{
    const auto &kept = m_planner.m_keptRooms;
    return std::any_of(kept.begin(), kept.end(), [&](const auto &entry) {
        return entry.first != m_cluster.items[model].id && entry.second.contains(m_cluster.endpoints[endpoint].id);
    });
}

bool place_finder::isKeptFor(std::size_t model, std::size_t endpoint) const
{
    const auto kept = m_planner.m_keptRooms.find(m_cluster.items[model].id);
    return kept != m_planner.m_keptRooms.end() && kept->second.contains(m_cluster.endpoints[endpoint].id);
}

int place_finder::keptRooms(std::size_t model) const
{
    const auto kept = m_planner.m_keptRooms.find(m_cluster.items[model].id);
    return kept == m_planner.m_keptRooms.end() ? 0 : static_cast<int>(kept->second.size());
}

bool place_finder::keepsZones(std::size_t model, std::size_t endpoint) const
{
    const int wanted = std::min(m_cluster.items[model].copies, m_cluster.usableZones);
    const bool lastInZone = m_cluster.copiesInZone(model, m_cluster.endpoints[endpoint].zone) == 1;
    return m_cluster.zonesOf(model) - (lastInZone ? 1 : 0) >= wanted;
}

} // namespace chervilbend::placement
