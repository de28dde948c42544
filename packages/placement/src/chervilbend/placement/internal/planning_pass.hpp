#pragma once

#include <chervilbend/placement/internal/cluster_model.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilbend::placement
{

/// One pass of the planner, step by step in the order of importance. What a step decides, later steps see.
class planning_pass
{
public:
    planning_pass(placement_planner &planner, const planner_input &input, const std::set<placement_planner::place> &stuck);

    std::vector<planned_change> run();

private:
    /// Where a copy could go and what must leave for it.
    struct candidate {
        std::size_t endpoint = 0;
        std::vector<std::size_t> victims;
        /// Work that the victims' leaving would cost, in endpoints.
        double loss = 0;
        /// Drops that are already under way will make the room.
        bool waits = false;
        double value = 0;
    };

    /// What the copies that are dropped for another one must leave behind.
    enum class eviction {
        /// One copy, whatever was declared: another model would otherwise be unreachable.
        downToOne,
        /// The declared number of copies.
        downToDeclared,
    };

    void restoreMissing();
    void dropUndeclared();
    void restoreCopies();
    void placeAdapters();
    void followDemand();
    bool addCopyFor(std::size_t model);
    void dropIdle();
    void dropStuck();
    void dropOrphans();

    /// Models by falling importance.
    std::vector<std::size_t> modelsByImportance() const;
    std::optional<candidate> placeAt(std::size_t model, std::size_t endpoint, std::int64_t bytes, eviction bound) const;
    std::optional<candidate> placeToRestore(std::size_t model, std::int64_t bytes, eviction bound) const;
    bool findVictims(candidate &place, std::int64_t bytes, eviction bound, std::size_t forModel) const;
    bool isIdle(std::size_t model) const;
    /// Carries a candidate out as far as possible now. True when the model was assigned.
    bool carryOut(std::size_t model, const candidate &place, std::int64_t bytes, const std::string &why);
    void assignAdapters(std::size_t model, std::size_t endpoint);
    void assign(std::size_t item, std::size_t endpoint, std::string why);
    /// Drops an item; of a model, its adapters there first.
    void drop(std::size_t item, std::size_t endpoint, const std::string &why);
    bool makeRoomForAdapter(std::size_t adapter);
    bool keepsZones(std::size_t model, std::size_t endpoint) const;

    bool isModel(std::size_t item) const
    {
        return m_cluster.items[item].base == item;
    }

    placement_planner &m_planner;
    const planner_settings &m_settings;
    move_budget &m_budget;
    cluster_model m_cluster;
    std::set<placement_planner::place> m_stuck;
    base::log_offset m_token;
    /// A declared model found no room.
    bool m_lacksRoom = false;
    std::vector<planned_change> m_changes;
};

} // namespace chervilbend::placement
