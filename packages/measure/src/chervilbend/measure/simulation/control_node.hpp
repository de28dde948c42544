#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/lease_manager.hpp>
#include <chervilbend/fakes/in_process_engine_control.hpp>
#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/measure/simulation/simulated_time.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace chervilbend::measure
{

/// The part of a node that holds leases and drives engines, as a simulated process. Destroying it simulates a kill.
class control_node
{
public:
    /// @p candidates are the nodes that may hold leases.
    control_node(simulated_time &time,
                 std::shared_ptr<fakes::log_store> store,
                 base::node_id node,
                 base::incarnation incarnation,
                 std::vector<base::node_id> candidates,
                 std::uint64_t seed);
    ~control_node();
    control_node(const control_node &) = delete;
    control_node &operator=(const control_node &) = delete;

    void setPaused(bool paused);
    bool isPaused() const;

    fakes::in_process_log_service &log();
    fakes::in_process_engine_control &engines();
    const state::replicated_state &state() const;
    const control::lease_manager &leases() const;
    control::entry_sink &sink();

private:
    struct components;

    simulated_time &m_time;
    bool m_paused = false;
    std::unique_ptr<components> m_components;
    /// Destroyed first, because its pending tasks use m_components.
    std::unique_ptr<boost::asio::io_context> m_context;
};

} // namespace chervilbend::measure
