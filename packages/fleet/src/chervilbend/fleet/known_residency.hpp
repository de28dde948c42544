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

/// What engines hold: the news of the holder of the command lease where it has them, otherwise the engines' registrations, less what an engine
/// has just refused.
class known_residency : public residency_view
{
public:
    /// @p registry must outlive the object.
    explicit known_residency(const endpoint_registry &registry);

    /// Commands.

    /// Gives the engines whose items have changed.
    std::set<base::endpoint_id> take(const std::vector<engine_update> &news);
    /// The holder is not known any more: its news go out of date.
    void discardUpdates();
    /// An engine refused a request because it does not hold the item.
    void noteMissing(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);

    /// Queries.

    std::vector<resident_model> modelsAt(const base::endpoint_id &endpoint) const override;
    /// Whether an engine of the service that takes new work holds the item.
    bool isHeld(const requested_item &item) const;

private:
    bool isMissing(const base::endpoint_id &engine, const std::string &model, const std::string &adapter) const;

    const endpoint_registry &m_registry;
    std::map<base::endpoint_id, engine_update> m_news;
    /// Until when a refusal counts, by engine and "MODEL" or "MODEL/ADAPTER".
    std::map<std::pair<base::endpoint_id, std::string>, base::time_point> m_missing;
};

} // namespace chervilbend::fleet
