#pragma once

#include <chervilbend/measure/attainment/placement_policy.hpp>
#include <chervilbend/placement/placement_planner.hpp>

namespace chervilbend::measure
{

/// Adapts the product's placement planner to placement_policy.
class planner_policy : public placement_policy
{
public:
    std::vector<state::entry> plan(const placement::planner_input &input) override
    {
        std::vector<state::entry> entries;
        for (placement::planned_change &change : m_planner.plan(input)) {
            entries.push_back(std::move(change.entry));
        }
        return entries;
    }

private:
    placement::placement_planner m_planner;
};

} // namespace chervilbend::measure
