#include <chervilbend/placement/internal/planning_pass.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilbend::placement
{

namespace
{

std::string percent(double share)
{
    return std::to_string(std::lround(share * 100)) + "%";
}

} // namespace

void planning_pass::followDemand()
{
    std::vector<std::pair<double, std::size_t>> hot;
    for (std::size_t model = 0; model < m_cluster.items.size(); ++model) {
        const item_record &record = m_cluster.items[model];
        if (m_cluster.isModel(model) && record.demand > 0 && expectedLevel(model) > m_settings.scaleUpUtilisation && m_cluster.countedCopies(model) > 0) {
            hot.emplace_back(-expectedLevel(model) * record.importance, model);
        }
    }
    std::sort(hot.begin(), hot.end());
    // A search for victims looks at every endpoint; the bound keeps a pass short when everything is overloaded.
    constexpr int maxSearches = 8;
    int searches = 0;
    for (const auto &[order, model] : hot) {
        while (searches < maxSearches && m_budget.allowsLoad() && m_budget.allowsMove() && expectedLevel(model) > m_settings.scaleUpUtilisation) {
            ++searches;
            if (!addCopyFor(model)) {
                break;
            }
        }
    }
}

double planning_pass::expectedLevel(std::size_t model) const
{
    const int copies = m_cluster.countedCopies(model);
    const int expected = copies + m_finder.keptRooms(model);
    return expected > 0 ? m_cluster.items[model].level * copies / expected : 0;
}

int planning_pass::roomsInMaking() const
{
    int rooms = 0;
    for (const auto &[item, kept] : m_planner.m_keptRooms) {
        rooms += static_cast<int>(kept.size());
    }
    return rooms;
}

bool planning_pass::addCopyFor(std::size_t model)
{
    const item_record &record = m_cluster.items[model];
    const std::int64_t bytes = m_cluster.bundleBytes(model);
    const std::optional<candidate_place> place = bestPlaceFor(model, bytes);
    if (!place) {
        if (m_finder.keptRooms(model) == 0) {
            relocateFor(model, bytes);
        }
        return false;
    }
    const std::size_t before = m_changes.size();
    carryOut(model, *place, bytes, "expected utilisation " + percent(record.level) + " over " + std::to_string(m_cluster.countedCopies(model)) + " copies");
    if (m_changes.size() > before) {
        m_budget.takeMove();
    }
    return true;
}

double planning_pass::moveCost() const
{
    constexpr double loadMs = 2'000;
    return loadMs / static_cast<double>(m_settings.paybackPeriod.count());
}

std::optional<candidate_place> planning_pass::bestPlaceFor(std::size_t model, std::int64_t bytes)
{
    // Room that is being made counts as a copy to come, so that several endpoints can make room at the same time.
    const int copies = m_cluster.countedCopies(model) + m_finder.keptRooms(model);
    const double level = expectedLevel(model);
    const bool mayMakeRoom = roomsInMaking() < m_storeSlots;
    std::vector<std::size_t> withoutPlace;
    std::optional<candidate_place> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        const double levelAfter = (copies * level + target.load) / (copies + 1);
        const double gain = std::min(levelAfter - target.load, copies * (level - m_settings.scaleUpUtilisation) + moveCost());
        const bool isKept = m_finder.isKeptFor(model, endpoint);
        const bool isInMaking = isKept && target.free < bytes;
        const bool isAvoided = m_planner.m_avoidUntil.contains({target.id, m_cluster.items[model].id});
        if (isInMaking || gain <= moveCost() || isAvoided || m_finder.isKeptForOther(model, endpoint)) {
            continue;
        }
        std::optional<candidate_place> place = m_finder.placeAt(model, endpoint, bytes, eviction::downToDeclared);
        if (!place) {
            withoutPlace.push_back(endpoint);
            continue;
        }
        // Room that the store could not fill for long would stand empty.
        if (!place->victims.empty() && !mayMakeRoom) {
            continue;
        }
        constexpr double keptRoomBonus = 1;
        place->value = gain - place->loss - moveCost() * static_cast<double>(1 + place->victims.size()) + (isKept ? keptRoomBonus : 0);
        if (place->value > 0 && (!best || place->value > best->value)) {
            best = std::move(place);
        }
    }
    for (const std::size_t endpoint : withoutPlace) {
        if (!best || m_cluster.endpoints[endpoint].load + m_settings.scaleUpUtilisation < m_cluster.endpoints[best->endpoint].load) {
            m_wantedEndpoints.insert(endpoint);
        }
    }
    return best;
}

void planning_pass::relocateFor(std::size_t model, std::int64_t bytes)
{
    const std::optional<candidate_place> relocation = m_finder.placeByRelocation(model, bytes);
    if (!relocation) {
        return;
    }
    const int copies = m_cluster.countedCopies(model);
    const double load = m_cluster.endpoints[relocation->endpoint].load;
    const double gain = (copies * expectedLevel(model) + load) / (copies + 1) - load;
    // A relocation is a load and a drop more.
    const double moves = 1 + 2 * static_cast<double>(relocation->relocations.size()) + static_cast<double>(relocation->victims.size());
    if (gain > relocation->loss + moveCost() * moves) {
        m_budget.takeMove();
        relocate(model, *relocation);
    }
}

void planning_pass::fillKeptRooms()
{
    const auto kept = m_planner.m_keptRooms;
    for (const auto &[id, rooms] : kept) {
        const std::optional<std::size_t> found = m_cluster.indexOf(id);
        if (!found) {
            continue;
        }
        const std::size_t model = *found;
        const std::int64_t bytes = m_cluster.bundleBytes(model);
        for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
            const endpoint_record &target = m_cluster.endpoints[endpoint];
            const bool isReady = rooms.contains(target.id) && target.usable && target.free >= bytes && !m_cluster.copyAt(model, endpoint);
            if (isReady && m_budget.allowsLoad()) {
                candidate_place place;
                place.endpoint = endpoint;
                carryOut(model, place, bytes, "room was made for it");
            }
        }
    }
}

void planning_pass::freeFullEndpoints()
{
    std::vector<std::pair<double, std::size_t>> byLoad;
    for (const std::size_t endpoint : m_wantedEndpoints) {
        if (m_cluster.endpoints[endpoint].usable && m_cluster.evictableBytes(endpoint) < m_cluster.largestBundle) {
            byLoad.emplace_back(m_cluster.endpoints[endpoint].load, endpoint);
        }
    }
    std::sort(byLoad.begin(), byLoad.end());
    for (const auto &[load, endpoint] : byLoad) {
        if (!m_budget.allowsLoad() || !m_budget.allowsMove() || roomsInMaking() >= m_storeSlots) {
            return;
        }
        if (copyAway(endpoint)) {
            m_budget.takeMove();
        }
    }
}

bool planning_pass::copyAway(std::size_t from)
{
    // What is used least here loses the least by the move.
    const item_copy *least = nullptr;
    std::size_t model = 0;
    for (const std::size_t item : m_cluster.endpoints[from].items) {
        const item_copy *copy = m_cluster.copyAt(item, from);
        const bool isOnly = m_cluster.isModel(item) && m_cluster.countedCopies(item) <= m_cluster.items[item].copies && m_finder.keptRooms(item) == 0;
        if (isOnly && copy->counts && copy->state == state::residency::loaded && (!least || copy->share < least->share)) {
            least = copy;
            model = item;
        }
    }
    if (!least) {
        return false;
    }
    const std::int64_t bytes = m_cluster.bundleBytes(model);
    std::optional<candidate_place> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        // The other endpoint must still be able to make room afterwards.
        if (endpoint == from || m_cluster.evictableBytes(endpoint) < bytes + m_cluster.largestBundle || m_finder.isKeptForOther(model, endpoint)) {
            continue;
        }
        std::optional<candidate_place> place = m_finder.placeAt(model, endpoint, bytes, eviction::downToDeclared);
        if (place) {
            place->value = m_cluster.endpoints[endpoint].load - place->loss;
            if (!best || place->value > best->value) {
                best = std::move(place);
            }
        }
    }
    if (!best) {
        return false;
    }
    carryOut(model, *best, bytes, "leaves " + m_cluster.endpoints[from].id.value() + " to models in demand");
    return true;
}

bool planning_pass::isIdle(std::size_t model) const
{
    const auto since = m_planner.m_idleSince.find(m_cluster.items[model].id);
    return since != m_planner.m_idleSince.end() && base::clock::now() - since->second >= m_settings.scaleDownDelay;
}

void planning_pass::dropIdle()
{
    for (std::size_t model = 0; model < m_cluster.items.size(); ++model) {
        const item_record &record = m_cluster.items[model];
        const int copies = m_cluster.isModel(model) ? m_cluster.countedCopies(model) : 0;
        const bool idleNow = copies > record.copies && record.demand / copies < m_settings.scaleDownUtilisation;
        if (!idleNow) {
            m_planner.m_idleSince.erase(record.id);
            continue;
        }
        m_planner.m_idleSince.try_emplace(record.id, base::clock::now());
        if (!isIdle(model) || !m_budget.allowsMove() || m_cluster.loadedCopies(model) < copies) {
            continue;
        }
        const item_copy *choice = nullptr;
        for (const item_copy &copy : record.where) {
            const endpoint_record &target = m_cluster.endpoints[copy.endpoint];
            // Where there is room for any model, an idle copy costs nothing and may be wanted again.
            const bool roomIsShort = target.free + target.dropping < m_cluster.largestBundle;
            const bool droppable = copy.counts && roomIsShort && m_cluster.mayDrop(model, copy.endpoint) && m_finder.keepsZones(model, copy.endpoint)
                && m_cluster.levelWithout(record, copy.endpoint) < m_settings.maxUtilisationAfterDrop;
            if (droppable && (!choice || target.load > m_cluster.endpoints[choice->endpoint].load)) {
                choice = &copy;
            }
        }
        if (choice) {
            m_budget.takeMove();
            drop(model, choice->endpoint, "each of " + std::to_string(copies) + " copies is used by " + percent(record.demand / copies) + " only");
        }
    }
}

} // namespace chervilbend::placement
