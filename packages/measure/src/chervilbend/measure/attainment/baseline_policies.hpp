#pragma once

#include <chervilbend/measure/attainment/placement_policy.hpp>

#include <map>
#include <set>

namespace chervilbend::measure
{

/// What both baselines share: models with their bytes, and free memory as the fold shows it.
class baseline_policy : public placement_policy
{
protected:
    struct model_facts {
        base::item_id item;
        base::byte_count bytes;
        int copies = 1;
        std::vector<std::pair<base::item_id, base::byte_count>> adapters;
    };

    void read(const placement::planner_input &input);
    /// Assigns the model with its adapters to the endpoint with the most free memory that does not have it. False when there is none.
    bool assign(const model_facts &model, std::vector<state::entry> &entries);
    /// Drops the model with its adapters from the endpoint.
    void drop(const model_facts &model, const base::endpoint_id &endpoint, std::vector<state::entry> &entries);
    bool isLoadedAt(const model_facts &model, const base::endpoint_id &endpoint) const;
    int copiesOf(const model_facts &model) const;
    base::byte_count bundle(const model_facts &model) const;

    std::vector<model_facts> m_models;
    std::map<base::endpoint_id, base::byte_count> m_free;
    std::map<base::endpoint_id, std::map<base::item_id, state::residency>> m_items;
    base::log_offset m_token;
};

/// Placement fixed at the start, with copies in proportion to the mean demand of the whole day, which it knows beforehand.
class static_policy : public baseline_policy
{
public:
    explicit static_policy(std::map<base::item_id, double> meanDemand);

    std::vector<state::entry> plan(const placement::planner_input &input) override;

private:
    std::map<base::item_id, double> m_meanDemand;
    bool m_done = false;
};

/// Follows the demand of the last 10 s: as many copies as keep utilisation below 0.7, where memory is short those of the models with the
/// most demand per copy. Without hysteresis, costs of moves or pacing.
class greedy_policy : public baseline_policy
{
public:
    std::vector<state::entry> plan(const placement::planner_input &input) override;

private:
    void dropSurplus(const std::map<base::item_id, int> &wanted, std::vector<state::entry> &entries);
    bool makeRoom(const model_facts &model, const placement::planner_input &input, std::vector<state::entry> &entries);

    int m_second = 0;
};

} // namespace chervilbend::measure
