#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_inventory.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <map>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// A model that is to be loaded or unloaded now.
struct model_move {
    base::endpoint_id engine;
    std::string model;
    bool isLoad = true;
    std::string why;
};

/// Requests for each model that are open over all nodes, in engines that they would keep fully busy.
using model_demand = std::map<std::string, double>;

/// Decides which models of one service are loaded where, by the placement planner.
class model_policy
{
public:
    model_policy();

    /// The moves to command now. Call again only when those of the last call have been entered into the ledger.
    std::vector<model_move> plan(const engine_inventory &ledger, const service_rule &service, const model_demand &demand, base::time_point now);

private:
    placement::placement_planner m_planner;
};

} // namespace chervilbend::fleet
