#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/control/endpoint_driver.hpp>
#include <chervilbend/control/load_command_tracker.hpp>
#include <chervilbend/external/engine_control.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

namespace chervilbend::control
{

class entry_sink;
class lease_manager;

/// Runs one endpoint_driver for each endpoint that this node owns.
class endpoint_driver_pool
{
public:
    /// All references must outlive the object, and the object its tasks.
    endpoint_driver_pool(const state::replicated_state &state, lease_manager &leases, external::engine_control &engines, entry_sink &sink);

    /// Reconciles all owned endpoints, each in its own task, until cancelled.
    boost::asio::awaitable<void> run();

    /// Queries.

    /// Whether a load command may still be delivered to an engine that does not check fencing tokens and whose lease this node does not hold.
    bool hasOutstandingLoadsWithoutLease() const;

private:
    struct slot {
        std::shared_ptr<endpoint_driver> driver;
        bool busy = false;
    };

    boost::asio::awaitable<void> runRound(std::shared_ptr<slot> driverSlot);

    const state::replicated_state &m_state;
    lease_manager &m_leases;
    external::engine_control &m_engines;
    entry_sink &m_sink;
    load_command_tracker m_loadCommands;
    std::map<base::endpoint_id, std::shared_ptr<slot>> m_slots;
};

} // namespace chervilbend::control
