#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/engine_update.hpp>
#include <chervilbend/fleet/residency_view.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::fleet
{

/// What engines hold: from the updates of the holder of the command lease where there are any, otherwise from the engines' registrations. Items
/// for which an engine has just refused a request are excluded.
class known_residency : public residency_view
{
public:
    /// @p registry must outlive the object.
    explicit known_residency(const endpoint_registry &registry);

    /// Commands.

    /// Returns the engines whose items have changed.
    std::set<base::endpoint_id> apply(const std::vector<engine_update> &updates);
    /// The holder is no longer known, so its updates are out of date.
    void discardUpdates();
    /// An engine refused a request because it does not hold the item.
    void noteMissing(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);

    /// Queries.

    std::vector<resident_model> modelsAt(const base::endpoint_id &endpoint) const override;
    /// Whether an engine of the service that accepts new work holds the item.
    bool isHeld(const requested_item &item) const;

private:
    bool isMissing(const base::endpoint_id &engine, const std::string &model, const std::string &adapter) const;

    const endpoint_registry &m_registry;
    std::map<base::endpoint_id, engine_update> m_updates;
    /// Expiry times of refusals, by engine and "MODEL" or "MODEL/ADAPTER".
    std::map<std::pair<base::endpoint_id, std::string>, base::time_point> m_missing;
};

} // namespace chervilbend::fleet
