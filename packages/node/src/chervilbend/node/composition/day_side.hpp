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

/// The daily page of a node: counts what it sees into the `day` stream, reads the other nodes' counts.
class day_side : public control::report_listener
{
public:
    /// All references must outlive the object, and the object the io_context's run.
    day_side(const boost::asio::any_io_executor &executor, const node_identity &identity, control_plane &control, external::log_service &log);

    /// Commands.

    void start();
    void serve(peers::rpc_server &server);
    /// Counts what has happened since the last call. Also called once per second.
    void observe();
    /// Appends the counts of the last minute with the mark of a planned stop, and waits for it up to @p patience.
    boost::asio::awaitable<void> stop(base::milliseconds patience);

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
    boost::asio::awaitable<void> record();
    boost::asio::awaitable<void> sendUnsent();
    void observeFailures(base::milliseconds sinceLast);

    boost::asio::any_io_executor m_executor;
    control_plane &m_control;
    recent_days m_days;
    control::log_stream m_stream;
    day_recorder m_recorder;
    /// Minutes that are not known to be in the log.
    std::vector<state::entry> m_unsent;
    std::set<base::endpoint_id> m_silentEndpoints;
    std::set<base::node_id> m_lostNodes;
    base::time_point m_observedAt;
};

} // namespace chervilbend::node
