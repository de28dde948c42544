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

/// One driver for each endpoint that this node owns.
class endpoint_driver_pool
{
public:
    /// All references must outlive the object, and the object its tasks.
    endpoint_driver_pool(const state::replicated_state &state, lease_manager &leases, external::engine_control &engines, entry_sink &sink);

    /// Drives all owned endpoints, each in a task of its own, until cancelled.
    boost::asio::awaitable<void> run();

    /// Queries.

    /// Whether a load may still arrive at an engine that does not check fencing tokens and whose lease this node does not hold.
    bool hasOutstandingLoadsWithoutLease() const;

private:
    struct slot {
        std::shared_ptr<endpoint_driver> driver;
        bool busy = false;
    };

    boost::asio::awaitable<void> driveOnce(std::shared_ptr<slot> owned);

    const state::replicated_state &m_state;
    lease_manager &m_leases;
    external::engine_control &m_engines;
    entry_sink &m_sink;
    load_command_tracker m_ledger;
    std::map<base::endpoint_id, std::shared_ptr<slot>> m_slots;
};

} // namespace chervilbend::control
