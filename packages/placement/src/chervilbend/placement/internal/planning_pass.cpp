#include <chervilbend/placement/internal/planning_pass.hpp>

#include <chervilbend/config/model_declaration.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::placement
{

planning_pass::planning_pass(placement_planner &planner, const planner_input &input, const std::set<placement_planner::endpoint_item> &stuck)
    : m_planner(planner)
    , m_settings(planner.m_settings)
    , m_budget(planner.m_budget)
    , m_cluster(input, stuck)
    , m_finder(planner, m_cluster)
    , m_stuck(stuck)
    , m_fencingToken(input.plannerToken)
    , m_storeSlots(input.store.slots)
{
    m_budget.startPass(input.store, m_cluster.modelsInTransit, m_cluster.adaptersInTransit);
    m_cluster.distributeDemand();
}

std::vector<planned_change> planning_pass::run()
{
    restoreMissing();
    dropUndeclared();
    dropStuck();
    restoreCopies();
    placeAdapters();
    fillReservations();
    followDemand();
    freeFullEndpoints();
    dropIdle();
    dropOrphanedAdapters();
    return std::move(m_changes);
}

std::vector<std::size_t> planning_pass::modelsByImportance() const
{
    std::vector<std::size_t> models;
    for (std::size_t i = 0; i < m_cluster.items.size(); ++i) {
        if (m_cluster.isModel(i)) {
            models.push_back(i);
        }
    }
    std::stable_sort(models.begin(), models.end(), [this](std::size_t left, std::size_t right) {
        return m_cluster.items[left].importance > m_cluster.items[right].importance;
    });
    return models;
}

void planning_pass::restoreMissing()
{
    for (const std::size_t model : modelsByImportance()) {
        if (m_cluster.countedCopies(model) > 0) {
            continue;
        }
        // Less important models have to wait, too, so a search for them would be wasted.
        if (!m_budget.allowsLoad()) {
            return;
        }
        std::int64_t bytes = m_cluster.bundleBytes(model);
        std::optional<candidate_place> place = m_finder.placeToRestore(model, bytes, eviction_limit::downToOne);
        if (!place) {
            // The model is reachable even without its adapters.
            bytes = m_cluster.items[model].bytes;
            place = m_finder.placeToRestore(model, bytes, eviction_limit::downToOne);
        }
        if (place) {
            execute(model, *place, bytes, "no copy is left");
            continue;
        }
        m_lacksMemory = true;
        makeRoomByRelocation(model, bytes);
    }
}

void planning_pass::makeRoomByRelocation(std::size_t model, std::int64_t bytes)
{
    // Only one attempt at a time, since the relocated copies must be loaded first.
    if (m_finder.reservationCount(model) > 0) {
        return;
    }
    if (const std::optional<candidate_place> relocation = m_finder.placeByRelocation(model, bytes)) {
        relocate(model, *relocation);
    }
}

void planning_pass::dropUndeclared()
{
    for (const undeclared_item &extra : m_cluster.undeclared) {
        // The old version of a model or adapter is kept until the new one is loaded, unless its memory is needed.
        const std::string name = config::nameOf(extra.item);
        const auto isNewerVersion = [&name](const item_record &item) {
            return config::nameOf(item.id) == name;
        };
        const auto newer = std::find_if(m_cluster.items.begin(), m_cluster.items.end(), isNewerVersion);
        const auto index = static_cast<std::size_t>(newer - m_cluster.items.begin());
        const bool keepsOldVersion = newer != m_cluster.items.end() && m_cluster.loadedCopies(index) == 0 && !m_lacksMemory;
        if (!keepsOldVersion) {
            m_changes.push_back({state::drop_entry{extra.endpoint, extra.item, m_fencingToken}, "no service declares it"});
        }
    }
}

void planning_pass::dropStuck()
{
    for (std::size_t item = 0; item < m_cluster.items.size(); ++item) {
        const std::vector<item_copy> copies = m_cluster.items[item].placements;
        for (const item_copy &copy : copies) {
            const bool isStuck = m_stuck.contains({m_cluster.endpoints[copy.endpoint].id, m_cluster.items[item].id});
            if (isStuck && copy.state == state::residency::assigned && m_cluster.loadedCopies(item) > 0) {
                drop(item, copy.endpoint, "it was not loaded in time");
            }
        }
    }
}

void planning_pass::restoreCopies()
{
    for (const std::size_t model : modelsByImportance()) {
        const item_record &record = m_cluster.items[model];
        const int counted = m_cluster.countedCopies(model);
        if (counted == 0) {
            continue;
        }
        if (!m_budget.allowsLoad()) {
            return;
        }
        const int requiredZones = std::min(record.copies, m_cluster.usableZones);
        const bool inTooFewZones = m_cluster.zoneCount(model) < requiredZones;
        if (counted >= record.copies && !inTooFewZones) {
            continue;
        }
        const std::int64_t bytes = m_cluster.bundleBytes(model);
        const std::optional<candidate_place> place = m_finder.placeToRestore(model, bytes, eviction_limit::downToDeclared);
        const bool addsZone = place && m_cluster.copiesInZone(model, m_cluster.endpoints[place->endpoint].zone) == 0;
        if (place && (counted < record.copies || addsZone)) {
            execute(model, *place, bytes, std::to_string(counted) + " of " + std::to_string(record.copies) + " copies in different zones");
        } else if (!place && counted < record.copies) {
            makeRoomByRelocation(model, bytes);
        }
    }
}

bool planning_pass::execute(std::size_t model, const candidate_place &place, std::int64_t bytes, const std::string &reason)
{
    if (!place.victims.empty()) {
        // Nothing is dropped for a load that could not start yet.
        if (!m_budget.allowsLoad()) {
            return false;
        }
        for (const std::size_t victim : place.victims) {
            drop(victim, place.endpoint, "makes room for " + m_cluster.items[model].id.value());
        }
    }
    if (!place.victims.empty() || place.waitsForDrops) {
        addReservation(model, place.endpoint);
        m_cluster.reserve(place.endpoint, bytes);
        return false;
    }
    if (!m_budget.allowsLoad()) {
        m_cluster.reserve(place.endpoint, bytes);
        return false;
    }
    m_budget.takeLoad();
    assign(model, place.endpoint, reason);
    m_planner.m_reservations[m_cluster.items[model].id].erase(m_cluster.endpoints[place.endpoint].id);
    assignAdapters(model, place.endpoint);
    return true;
}

void planning_pass::addReservation(std::size_t model, std::size_t endpoint)
{
    m_planner.m_reservations[m_cluster.items[model].id][m_cluster.endpoints[endpoint].id] = base::clock::now() + m_settings.reservationTimeout;
}

void planning_pass::assign(std::size_t item, std::size_t endpoint, std::string reason)
{
    const item_record &record = m_cluster.items[item];
    m_changes.push_back({state::assign_entry{m_cluster.endpoints[endpoint].id, record.id, base::byte_count(record.bytes), m_fencingToken}, std::move(reason)});
    m_cluster.assign(item, endpoint);
    if (m_cluster.isModel(item)) {
        m_cluster.distributeDemand(m_cluster.items[item]);
    }
}

void planning_pass::drop(std::size_t item, std::size_t endpoint, const std::string &reason)
{
    for (const std::size_t adapter : m_cluster.items[item].adapters) {
        const item_copy *copy = m_cluster.copyAt(adapter, endpoint);
        if (copy && copy->state != state::residency::dropping) {
            drop(adapter, endpoint, reason);
        }
    }
    m_changes.push_back({state::drop_entry{m_cluster.endpoints[endpoint].id, m_cluster.items[item].id, m_fencingToken}, reason});
    m_cluster.drop(item, endpoint);
    if (m_cluster.isModel(item)) {
        m_cluster.distributeDemand(m_cluster.items[item]);
    }
}

void planning_pass::assignAdapters(std::size_t model, std::size_t endpoint)
{
    for (const std::size_t adapter : m_cluster.items[model].adapters) {
        const bool fits = m_cluster.endpoints[endpoint].free >= m_cluster.items[adapter].bytes;
        if (!m_cluster.copyAt(adapter, endpoint) && fits && m_budget.allowsAdapterLoad()) {
            m_budget.takeAdapterLoad();
            assign(adapter, endpoint, "its base model is at the endpoint");
        }
    }
}

void planning_pass::placeAdapters()
{
    for (const std::size_t model : modelsByImportance()) {
        for (std::size_t i = 0; i < m_cluster.items[model].placements.size(); ++i) {
            const item_copy copy = m_cluster.items[model].placements[i];
            if (copy.isCounted) {
                assignAdapters(model, copy.endpoint);
            }
        }
        for (const std::size_t adapter : m_cluster.items[model].adapters) {
            if (m_cluster.countedCopies(adapter) == 0 && m_budget.allowsAdapterLoad()) {
                makeRoomForAdapter(adapter);
            }
        }
    }
}

bool planning_pass::makeRoomForAdapter(std::size_t adapter)
{
    const std::size_t model = m_cluster.items[adapter].base;
    const std::int64_t bytes = m_cluster.items[adapter].bytes;
    for (const eviction_limit limit : {eviction_limit::downToDeclared, eviction_limit::downToOne}) {
        for (const item_copy &copy : m_cluster.items[model].placements) {
            candidate_place place;
            place.endpoint = copy.endpoint;
            const endpoint_record &target = m_cluster.endpoints[copy.endpoint];
            if (!copy.isCounted || m_cluster.copyAt(adapter, copy.endpoint)) {
                continue;
            }
            const bool willBeFree = target.free + target.dropping >= bytes;
            if (willBeFree || m_finder.findVictims(place, bytes, limit, model)) {
                for (const std::size_t victim : place.victims) {
                    drop(victim, place.endpoint, "makes room for " + m_cluster.items[adapter].id.value());
                }
                m_cluster.reserve(place.endpoint, bytes);
                return true;
            }
        }
    }
    return false;
}

void planning_pass::relocate(std::size_t model, const candidate_place &place)
{
    const std::string reason = "moves to make room for " + m_cluster.items[model].id.value() + " at " + m_cluster.endpoints[place.endpoint].id.value();
    for (const auto &[item, destination] : place.relocations) {
        if (!m_budget.allowsLoad()) {
            return;
        }
        m_budget.takeLoad();
        assign(item, destination, reason);
        assignAdapters(item, destination);
    }
    addReservation(model, place.endpoint);
    m_cluster.reserve(place.endpoint, m_cluster.endpoints[place.endpoint].free);
}

void planning_pass::dropOrphanedAdapters()
{
    for (std::size_t adapter = 0; adapter < m_cluster.items.size(); ++adapter) {
        if (m_cluster.isModel(adapter)) {
            continue;
        }
        for (std::size_t i = 0; i < m_cluster.items[adapter].placements.size(); ++i) {
            const item_copy copy = m_cluster.items[adapter].placements[i];
            const item_copy *base = m_cluster.copyAt(m_cluster.items[adapter].base, copy.endpoint);
            const bool baseStays = base && base->state != state::residency::dropping;
            const bool isLast = m_cluster.loadedCopies(adapter) - (copy.isCounted ? 1 : 0) < 1;
            if (!baseStays && copy.state != state::residency::dropping && !isLast) {
                drop(adapter, copy.endpoint, "its base model is not at the endpoint");
            }
        }
    }
}

} // namespace chervilbend::placement
