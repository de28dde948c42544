#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/membership/member_table.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace chervilbend::control
{

class entry_sink;

/// Records the end of former incarnations of nodes. This lifts the quarantine of items that such an incarnation might still load on engines
/// that do not check fencing tokens.
///
/// An incarnation has ended when a later incarnation of the same node answers, or when the node has been missing from the host list for a
/// long time and does not answer probes. Only the planner appends the record, so that it is written once.
class incarnation_end_observer : public host_listener
{
public:
    /// Commands of a former incarnation may still be in transit for this time after a later incarnation has answered.
    static constexpr base::milliseconds commandTransitTime{30'000};

    /// All references must outlive the task. @p isPlanner returns whether this node holds the planner's lease. @p unlistedTimeout is how long an
    /// unresponsive node must be missing from the host list.
    incarnation_end_observer(const state::replicated_state &state,
                             const membership::member_table &members,
                             std::function<bool()> isPlanner,
                             entry_sink &sink,
                             base::milliseconds unlistedTimeout);

    /// Commands.

    /// Calls observe() once per second until cancelled.
    boost::asio::awaitable<void> run();
    void observe();
    void hostsChanged(const std::vector<external::host_entry> &hosts) override;

private:
    using node_incarnation = std::pair<base::node_id, base::incarnation>;

    std::set<node_incarnation> quarantinedIncarnations() const;
    bool hasSuccessor(const node_incarnation &former) const;
    bool isUnlistedAndUnresponsive(const node_incarnation &former) const;
    base::milliseconds confirmationTime(const node_incarnation &former) const;

    const state::replicated_state &m_state;
    const membership::member_table &m_members;
    std::function<bool()> m_isPlanner;
    entry_sink &m_sink;
    base::milliseconds m_unlistedTimeout;
    std::set<base::node_id> m_listed;
    bool m_hostsKnown = false;
    /// Since when an incarnation has continuously met the conditions for having ended.
    std::map<node_incarnation, base::time_point> m_endedSince;
};

} // namespace chervilbend::control
