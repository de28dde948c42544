#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/internal/endpoint_reconciler.hpp>
#include <chervilbend/control/load_command_tracker.hpp>
#include <chervilbend/external/engine_control.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

namespace chervilbend::control
{

class entry_sink;
class lease_manager;

/// Reconciles one engine with the replicated state while this node owns its endpoint.
///
/// The lease manager is consulted immediately before each command. After the end of the lease term, commands are sent only to engines that
/// check fencing tokens: these reject commands as soon as a new owner has fenced them.
class endpoint_driver
{
public:
    /// All references must outlive the driver.
    endpoint_driver(base::endpoint_id endpoint,
                    const state::replicated_state &state,
                    lease_manager &leases,
                    external::engine_control &engines,
                    load_command_tracker &loadCommands,
                    entry_sink &sink);

    /// Runs one round: fences the engine if needed, requests its report and executes the resulting steps.
    boost::asio::awaitable<void> reconcile();

    const base::endpoint_id &endpoint() const
    {
        return m_endpoint;
    }

private:
    bool mayCommand() const;
    /// Whether the engine's highest fencing token is this owner's; always true for engines that do not check tokens.
    bool isFenced(const external::engine_report &report);
    boost::asio::awaitable<void> execute(net::address engine, endpoint_step step);
    boost::asio::awaitable<void> sendCommand(net::address engine, external::engine_action action, base::item_id item, base::byte_count bytes);
    const state::endpoint_view *view() const;
    /// The replicated entry for an item; nullptr if the item is not assigned to the endpoint.
    const state::residency_view *findResidency(const base::item_id &item) const;

    base::endpoint_id m_endpoint;
    base::lease_name m_lease;
    const state::replicated_state &m_state;
    lease_manager &m_leases;
    external::engine_control &m_engines;
    load_command_tracker &m_loadCommands;
    entry_sink &m_sink;
    endpoint_reconciler m_reconciler;
    /// This owner's fencing token once the engine has reported it as its highest; 0 before that.
    base::log_offset m_fencedToken;
    /// The engine rejects all commands with a token below this one.
    base::log_offset m_invalidatedBelow;
    /// The token under which this node owns the endpoint, and when it first used that token.
    base::log_offset m_heldToken;
    base::time_point m_heldSince;
    bool m_unreachable = false;
};

} // namespace chervilbend::control
