#pragma once

#include <chervilbend/control/lease_manager.hpp>
#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_entry_sink.hpp>
#include <chervilbend/control/log_follower.hpp>
#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/measure/simulation/simulated_time.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace chervilbend::measure
{

/// The part of a node that holds leases, as a simulated process. Destroying it simulates a kill.
class lease_node
{
public:
    lease_node(simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation incarnation);
    ~lease_node();
    lease_node(const lease_node &) = delete;
    lease_node &operator=(const lease_node &) = delete;

    /// Commands.

    void setEligible(std::vector<base::node_id> eligible);
    /// Planned stop: transfers all leases to other nodes.
    void stop();

    /// Queries.

    bool holds(const base::lease_name &name) const;

private:
    struct components;

    simulated_time &m_time;
    std::unique_ptr<components> m_components;
    /// Destroyed first, because its pending tasks use m_components.
    std::unique_ptr<boost::asio::io_context> m_context;
};

} // namespace chervilbend::measure
