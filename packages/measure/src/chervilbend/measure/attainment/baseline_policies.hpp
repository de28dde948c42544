#pragma once

#include <chervilbend/measure/attainment/placement_policy.hpp>

#include <map>
#include <set>

namespace chervilbend::measure
{

/// Common part of the baseline policies: the models with their sizes, and the free memory per endpoint in the replicated state.
class baseline_policy : public placement_policy
{
protected:
    struct model_facts {
        base::item_id item;
        base::byte_count bytes;
        int copies = 1;
        std::vector<std::pair<base::item_id, base::byte_count>> adapters;
    };

    void readInput(const placement::planner_input &input);
    /// Assigns the model and its adapters to the endpoint with the most free memory that does not hold it yet. Returns false if it fits nowhere.
    bool assign(const model_facts &model, std::vector<state::entry> &entries);
    /// Drops the model and its adapters from the endpoint.
    void drop(const model_facts &model, const base::endpoint_id &endpoint, std::vector<state::entry> &entries);
    bool isLoadedAt(const model_facts &model, const base::endpoint_id &endpoint) const;
    int copiesOf(const model_facts &model) const;
    base::byte_count totalBytes(const model_facts &model) const;

    std::vector<model_facts> m_models;
    std::map<base::endpoint_id, base::byte_count> m_free;
    std::map<base::endpoint_id, std::map<base::item_id, state::residency>> m_items;
    base::log_offset m_token;
};

/// Places all models once at the start, with copies in proportion to the mean demand of the whole day, which it is given in advance.
class static_policy : public baseline_policy
{
public:
    explicit static_policy(std::map<base::item_id, double> meanDemand);

    std::vector<state::entry> plan(const placement::planner_input &input) override;

private:
    std::map<base::item_id, double> m_meanDemand;
    bool m_isPlaced = false;
};

/// Follows the demand of the last 10 s: loads as many copies as keep utilisation below 0.7, and prefers models with the highest demand per
/// copy when memory is short. Has no hysteresis, move costs or rate limit.
class greedy_policy : public baseline_policy
{
public:
    std::vector<state::entry> plan(const placement::planner_input &input) override;

private:
    void dropSurplus(const std::map<base::item_id, int> &wanted, std::vector<state::entry> &entries);
    bool makeRoom(const model_facts &model, const placement::planner_input &input, std::vector<state::entry> &entries);

    int m_elapsedSeconds = 0;
};

} // namespace chervilbend::measure
