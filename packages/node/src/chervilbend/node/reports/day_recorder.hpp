#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/node/reports/minute_counters.hpp>
#include <chervilbend/node/request_end_listener.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::node
{

/// Counts the requests, orders, publishes, loads, unloads and failures that this node observes, for the daily page.
class day_recorder : public request_end_listener
{
public:
    /// @p state is that of the control stream and must outlive the recorder.
    day_recorder(const base::node_id &self, base::incarnation incarnation, const state::replicated_state &state);

    /// Commands.

    void requestEnded(const routing::request_facts &facts, request_result result, std::optional<base::error_kind> refusal) override;
    /// @p route is "SERVICE/PATH", as in control::order_request.
    void orderEnded(const std::string &route, base::run_state state);
    /// This node has submitted a publish for an operator. The publish is counted once its record has been applied.
    void publishSubmitted(const std::string &publishId);
    /// @p component was not working for @p duration. The names of components are listed at failureCounter().
    void componentFailed(const std::string &component, base::milliseconds duration);
    void nodeLost(const base::node_id &node);
    /// Compares the state with that of the last call, @p sinceLast ago. Call about once per second.
    void observeState(base::milliseconds sinceLast);

    std::vector<state::minute_counts_entry> takeCompleted();
    std::vector<state::minute_counts_entry> takeRemaining();

private:
    struct item_residency {
        base::time_point since;
        state::residency state = state::residency::assigned;
        base::byte_count bytes;
        bool isOwner = false;
    };

    using placed_item = std::pair<base::endpoint_id, base::item_id>;

    std::string serviceOf(const std::string &pool);
    void observePublishes();
    void observeResidencies();
    void observeUnloadedModels(base::milliseconds sinceLast);
    /// Whether the version has been in force long enough for its models to be loaded.
    bool isGracePeriodOver(const base::service_id &service, base::log_offset version);
    bool owns(const base::endpoint_id &endpoint) const;

    base::node_id m_self;
    const state::replicated_state &m_state;
    minute_counters m_counters;
    std::set<std::string> m_pendingPublishes;
    std::map<placed_item, item_residency> m_residencies;
    /// When the current version of each service was first seen.
    std::map<base::service_id, std::pair<base::log_offset, base::time_point>> m_versionSeen;
    /// The service that declares each item; rebuilt when the version of a service changes.
    std::map<std::string, std::string> m_serviceByItem;
    std::vector<base::log_offset> m_versions;
};

} // namespace chervilbend::node
