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
    std::vector<std::pair<double, std::size_t>> overloaded;
    for (std::size_t model = 0; model < m_cluster.items.size(); ++model) {
        const item_record &record = m_cluster.items[model];
        if (m_cluster.isModel(model) && record.demand > 0 && expectedUtilisation(model) > m_settings.scaleUpUtilisation && m_cluster.countedCopies(model) > 0) {
            overloaded.emplace_back(-expectedUtilisation(model) * record.importance, model);
        }
    }
    std::sort(overloaded.begin(), overloaded.end());
    // Each search visits all endpoints; the limit bounds the duration of a pass when all models are overloaded.
    constexpr int maxSearches = 8;
    int searches = 0;
    for (const auto &[order, model] : overloaded) {
        while (searches < maxSearches && m_budget.allowsLoad() && m_budget.allowsMove() && expectedUtilisation(model) > m_settings.scaleUpUtilisation) {
            ++searches;
            if (!addCopyFor(model)) {
                break;
            }
        }
    }
}

double planning_pass::expectedUtilisation(std::size_t model) const
{
    const int copies = m_cluster.countedCopies(model);
    const int expected = copies + m_finder.reservationCount(model);
    return expected > 0 ? m_cluster.items[model].utilisation * copies / expected : 0;
}

int planning_pass::pendingReservations() const
{
    int count = 0;
    for (const auto &[item, reservations] : m_planner.m_reservations) {
        count += static_cast<int>(reservations.size());
    }
    return count;
}

bool planning_pass::addCopyFor(std::size_t model)
{
    const item_record &record = m_cluster.items[model];
    const std::int64_t bytes = m_cluster.bundleBytes(model);
    const std::optional<candidate_place> place = bestPlaceFor(model, bytes);
    if (!place) {
        if (m_finder.reservationCount(model) == 0) {
            relocateFor(model, bytes);
        }
        return false;
    }
    const std::size_t before = m_changes.size();
    execute(
        model, *place, bytes, "expected utilisation " + percent(record.utilisation) + " over " + std::to_string(m_cluster.countedCopies(model)) + " copies");
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
    // Reserved memory counts as a future copy, so that memory can be freed at several endpoints at the same time.
    const int copies = m_cluster.countedCopies(model) + m_finder.reservationCount(model);
    const double utilisation = expectedUtilisation(model);
    const bool mayMakeRoom = pendingReservations() < m_storeSlots;
    std::vector<std::size_t> infeasible;
    std::optional<candidate_place> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        const endpoint_record &target = m_cluster.endpoints[endpoint];
        const double utilisationAfter = (copies * utilisation + target.load) / (copies + 1);
        const double gain = std::min(utilisationAfter - target.load, copies * (utilisation - m_settings.scaleUpUtilisation) + moveCost());
        const bool isReserved = m_finder.isReservedFor(model, endpoint);
        const bool isPending = isReserved && target.free < bytes;
        const bool isAvoided = m_planner.m_avoidUntil.contains({target.id, m_cluster.items[model].id});
        if (isPending || gain <= moveCost() || isAvoided || m_finder.isReservedForOther(model, endpoint)) {
            continue;
        }
        std::optional<candidate_place> place = m_finder.placeAt(model, endpoint, bytes, eviction_limit::downToDeclared);
        if (!place) {
            infeasible.push_back(endpoint);
            continue;
        }
        // With more reservations than the store has slots, freed memory would stay unused for long.
        if (!place->victims.empty() && !mayMakeRoom) {
            continue;
        }
        constexpr double reservationBonus = 1;
        place->value = gain - place->loss - moveCost() * static_cast<double>(1 + place->victims.size()) + (isReserved ? reservationBonus : 0);
        if (place->value > 0 && (!best || place->value > best->value)) {
            best = std::move(place);
        }
    }
    for (const std::size_t endpoint : infeasible) {
        if (!best || m_cluster.endpoints[endpoint].load + m_settings.scaleUpUtilisation < m_cluster.endpoints[best->endpoint].load) {
            m_blockedEndpoints.insert(endpoint);
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
    const double gain = (copies * expectedUtilisation(model) + load) / (copies + 1) - load;
    // Each relocation takes one more load and one more drop.
    const double moves = 1 + 2 * static_cast<double>(relocation->relocations.size()) + static_cast<double>(relocation->victims.size());
    if (gain > relocation->loss + moveCost() * moves) {
        m_budget.takeMove();
        relocate(model, *relocation);
    }
}

void planning_pass::fillReservations()
{
    const auto reservations = m_planner.m_reservations;
    for (const auto &[id, expiries] : reservations) {
        const std::optional<std::size_t> found = m_cluster.indexOf(id);
        if (!found) {
            continue;
        }
        const std::size_t model = *found;
        const std::int64_t bytes = m_cluster.bundleBytes(model);
        for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
            const endpoint_record &target = m_cluster.endpoints[endpoint];
            const bool isReady = expiries.contains(target.id) && target.usable && target.free >= bytes && !m_cluster.copyAt(model, endpoint);
            if (isReady && m_budget.allowsLoad()) {
                candidate_place place;
                place.endpoint = endpoint;
                execute(model, place, bytes, "memory was freed for it");
            }
        }
    }
}

void planning_pass::freeFullEndpoints()
{
    std::vector<std::pair<double, std::size_t>> byLoad;
    for (const std::size_t endpoint : m_blockedEndpoints) {
        if (m_cluster.endpoints[endpoint].usable && m_cluster.evictableBytes(endpoint) < m_cluster.largestBundle) {
            byLoad.emplace_back(m_cluster.endpoints[endpoint].load, endpoint);
        }
    }
    std::sort(byLoad.begin(), byLoad.end());
    for (const auto &[load, endpoint] : byLoad) {
        if (!m_budget.allowsLoad() || !m_budget.allowsMove() || pendingReservations() >= m_storeSlots) {
            return;
        }
        if (copyToOtherEndpoint(endpoint)) {
            m_budget.takeMove();
        }
    }
}

bool planning_pass::copyToOtherEndpoint(std::size_t from)
{
    // The least used model loses the least by the move.
    const item_copy *leastUsed = nullptr;
    std::size_t model = 0;
    for (const std::size_t item : m_cluster.endpoints[from].items) {
        const item_copy *copy = m_cluster.copyAt(item, from);
        const bool atDeclaredCopies =
            m_cluster.isModel(item) && m_cluster.countedCopies(item) <= m_cluster.items[item].copies && m_finder.reservationCount(item) == 0;
        if (atDeclaredCopies && copy->isCounted && copy->state == state::residency::loaded && (!leastUsed || copy->share < leastUsed->share)) {
            leastUsed = copy;
            model = item;
        }
    }
    if (!leastUsed) {
        return false;
    }
    const std::int64_t bytes = m_cluster.bundleBytes(model);
    std::optional<candidate_place> best;
    for (std::size_t endpoint = 0; endpoint < m_cluster.endpoints.size(); ++endpoint) {
        // The other endpoint must still be able to take the largest model afterwards.
        if (endpoint == from || m_cluster.evictableBytes(endpoint) < bytes + m_cluster.largestBundle || m_finder.isReservedForOther(model, endpoint)) {
            continue;
        }
        std::optional<candidate_place> place = m_finder.placeAt(model, endpoint, bytes, eviction_limit::downToDeclared);
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
    execute(model, *best, bytes, "frees " + m_cluster.endpoints[from].id.value() + " for models in demand");
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
        for (const item_copy &copy : record.placements) {
            const endpoint_record &target = m_cluster.endpoints[copy.endpoint];
            // While any model still fits at the endpoint, an idle copy costs nothing and may be needed again.
            const bool memoryIsShort = target.free + target.dropping < m_cluster.largestBundle;
            const bool droppable = copy.isCounted && memoryIsShort && m_cluster.mayDrop(model, copy.endpoint) && m_finder.keepsZoneSpread(model, copy.endpoint)
                && m_cluster.utilisationWithout(record, copy.endpoint) < m_settings.maxUtilisationAfterDrop;
            if (droppable && (!choice || target.load > m_cluster.endpoints[choice->endpoint].load)) {
                choice = &copy;
            }
        }
        if (choice) {
            m_budget.takeMove();
            drop(model, choice->endpoint, "each of " + std::to_string(copies) + " copies has a utilisation of " + percent(record.demand / copies) + " only");
        }
    }
}

} // namespace chervilbend::placement
