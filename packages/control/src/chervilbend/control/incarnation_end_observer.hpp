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

/// Appends that a former life of a node has ended, which lifts the quarantine of items that it may still load at engines that do not
/// check fencing tokens.
///
/// A life has ended when a later life of the same node answers, or when the host list has not shown the node for a long time while it
/// does not answer probes. Only the planner appends, so that one record is enough.
class incarnation_end_observer : public host_listener
{
public:
    /// After a later life has answered, commands of the former one may still be in the network for this time.
    static constexpr base::milliseconds commandFlight{30'000};

    /// All references must outlive the task. @p isPlanner tells whether this node holds the planner's lease. @p unlistedFor is the time for which the host list
    /// must not show a silent node.
    incarnation_end_observer(const state::replicated_state &state,
                             const membership::member_table &members,
                             std::function<bool()> isPlanner,
                             entry_sink &sink,
                             base::milliseconds unlistedFor);

    /// Commands.

    /// Looks once per second until cancelled.
    boost::asio::awaitable<void> run();
    void observe();
    void hostsChanged(const std::vector<external::host_entry> &hosts) override;

private:
    using node_life = std::pair<base::node_id, base::incarnation>;

    std::set<node_life> quarantining() const;
    bool hasSuccessor(const node_life &former) const;
    bool isGone(const node_life &former) const;
    base::milliseconds patienceFor(const node_life &former) const;

    const state::replicated_state &m_state;
    const membership::member_table &m_members;
    std::function<bool()> m_isPlanner;
    entry_sink &m_sink;
    base::milliseconds m_unlistedFor;
    std::set<base::node_id> m_listed;
    bool m_knowsHosts = false;
    /// Since when a life has looked ended without a break.
    std::map<node_life, base::time_point> m_endedSince;
};

} // namespace chervilbend::control
