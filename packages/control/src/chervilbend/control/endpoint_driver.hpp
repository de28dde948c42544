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

/// Drives one engine to what the fold shows for it, while this node owns its endpoint.
///
/// Whether a command may be sent is asked of the lease keeper immediately before each. After the end of the term, only an engine that
/// checks fencing tokens is still driven: it refuses commands as soon as a new owner has fenced it.
class endpoint_driver
{
public:
    /// All references must outlive the driver.
    endpoint_driver(base::endpoint_id endpoint,
                    const state::replicated_state &state,
                    lease_manager &leases,
                    external::engine_control &engines,
                    load_command_tracker &ledger,
                    entry_sink &sink);

    /// One round: fence if needed, report, then the steps that follow from it.
    boost::asio::awaitable<void> drive();

    const base::endpoint_id &endpoint() const
    {
        return m_endpoint;
    }

private:
    bool mayCommand() const;
    /// Whether the engine obeys this owner's token only.
    bool isFenced(const external::engine_report &report);
    boost::asio::awaitable<void> carryOut(net::address engine, endpoint_step step);
    boost::asio::awaitable<void> sendCommand(net::address engine, external::engine_action action, base::item_id item, base::byte_count bytes);
    const state::endpoint_view *view() const;
    /// The fold's entry for an item, nullptr when it does not count.
    const state::residency_view *resident(const base::item_id &item) const;

    base::endpoint_id m_endpoint;
    base::lease_name m_lease;
    const state::replicated_state &m_state;
    lease_manager &m_leases;
    external::engine_control &m_engines;
    load_command_tracker &m_ledger;
    entry_sink &m_sink;
    endpoint_reconciler m_reconciler;
    /// The token that the engine was seen to have as its highest.
    base::log_offset m_fencedWith;
    /// The token before which all commands are void.
    base::log_offset m_voidedBelow;
    /// The token of the current holding, and when this node first drove with it.
    base::log_offset m_heldWith;
    base::time_point m_heldSince;
    bool m_unreachable = false;
};

} // namespace chervilbend::control
