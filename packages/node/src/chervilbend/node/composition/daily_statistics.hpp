#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/control/log_stream.hpp>
#include <chervilbend/control/report_listener.hpp>
#include <chervilbend/node/composition/node_identity.hpp>
#include <chervilbend/node/reports/day_recorder.hpp>
#include <chervilbend/node/reports/recent_days.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <set>
#include <vector>

namespace chervilbend::external
{
class log_service;
} // namespace chervilbend::external

namespace chervilbend::peers
{
class rpc_server;
} // namespace chervilbend::peers

namespace chervilbend::node
{

class control_plane;

/// Statistics for the daily page: appends the counts of this node to the `day` stream and reads those of all nodes from it.
class daily_statistics : public control::report_listener
{
public:
    /// All references must outlive the object, and the object must outlive the run of the io_context.
    daily_statistics(const boost::asio::any_io_executor &executor, const node_identity &identity, control_plane &control, external::log_service &log);

    /// Commands.

    void start();
    /// Adds the RPC method that returns the counts to @p server.
    void registerMethods(peers::rpc_server &server);
    /// Updates the counts from the state and the failures since the last call. Also called internally once per second.
    void observe();
    /// Appends the counts of the last minute, marked as a planned stop, and waits at most @p timeout for the log to accept them.
    boost::asio::awaitable<void> stop(base::milliseconds timeout);

    void reportArrived(const base::endpoint_id &endpoint, const external::engine_report &report) override;
    void reportMissed(const base::endpoint_id &endpoint, int times) override;

    const recent_days &days() const
    {
        return m_days;
    }

    day_recorder &recorder()
    {
        return m_recorder;
    }

private:
    boost::asio::awaitable<void> recordPeriodically();
    boost::asio::awaitable<void> appendUnsent();
    void observeFailures(base::milliseconds sinceLast);

    boost::asio::any_io_executor m_executor;
    control_plane &m_control;
    recent_days m_days;
    control::log_stream m_stream;
    day_recorder m_recorder;
    /// Counts, one entry per minute, that are not confirmed to be in the log.
    std::vector<state::entry> m_unsent;
    std::set<base::endpoint_id> m_unresponsiveEndpoints;
    std::set<base::node_id> m_lostNodes;
    base::time_point m_observedAt;
};

} // namespace chervilbend::node
