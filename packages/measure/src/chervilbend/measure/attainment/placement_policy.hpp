#pragma once

#include <chervilbend/placement/planner_input.hpp>
#include <chervilbend/state/entries.hpp>

#include <vector>

namespace chervilbend::measure
{

/// Decides in a simulation which models are loaded on which endpoints.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Returns the log entries to append. Called once per second.
    virtual std::vector<state::entry> plan(const placement::planner_input &input) = 0;
};

} // namespace chervilbend::measure
