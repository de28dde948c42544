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
struct model_change {
    base::endpoint_id engine;
    std::string model;
    bool isLoad = true;
    std::string reason;
};

/// Open requests per model over all nodes, expressed as the number of engines that they would fully occupy.
using model_demand = std::map<std::string, double>;

/// Decides with the placement planner which models of one service are loaded on which engines.
class model_policy
{
public:
    model_policy();

    /// The changes to command now. Call again only after those of the last call have been entered in the inventory.
    std::vector<model_change> plan(const engine_inventory &inventory, const service_rule &service, const model_demand &demand, base::time_point now);

private:
    placement::placement_planner m_planner;
};

} // namespace chervilbend::fleet
