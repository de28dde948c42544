#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_commands.hpp>
#include <chervilbend/fleet/engine_inventory.hpp>
#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace chervilbend::fleet
{

class command_lease;

/// A command in the queue of an engine. Its item has already been entered in the inventory.
struct queued_command {
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter;
    /// Expected execution time at the engine.
    base::milliseconds expected{0};
    /// For the log line.
    std::string reason;
};

/// Sends commands to engines: one task per engine and one command at a time, each with the number of commands that the engine must have accepted
/// before. When the answer to a command was lost, its outcome is determined from the engine's status before the next command is sent.
class command_dispatcher
{
public:
    /// References must outlive the dispatcher.
    command_dispatcher(const boost::asio::any_io_executor &executor,
                       engine_commands &engines,
                       engine_inventory &inventory,
                       command_lease &lease,
                       std::function<const engine_rule *(const base::service_id &)> rules);

    /// Commands.

    void enqueue(const base::endpoint_id &engine, queued_command command);
    /// Queries what an engine holds and how many commands it has accepted, if that is not known.
    void queryState(const base::endpoint_id &engine);
    /// Discards all commands, when the lease is lost.
    void clear();
    /// The listener is called when a command or a status may have changed what an engine holds.
    void onChange(std::function<void()> listener);

    /// Queries.

    /// Number of commands sent since the start.
    std::int64_t sent() const
    {
        return m_sent;
    }
    /// Number of model loads among them.
    std::int64_t modelLoads() const
    {
        return m_modelLoads;
    }

private:
    enum class send_result {
        done,
        retry,
        dropped,
    };

    boost::asio::awaitable<void> processQueue(base::endpoint_id engine, std::int64_t generation);
    boost::asio::awaitable<void> resolveCommandCount(base::endpoint_id engine, std::int64_t generation);
    boost::asio::awaitable<bool> execute(base::endpoint_id engine, queued_command command, std::int64_t generation);
    boost::asio::awaitable<send_result> sendOnce(base::endpoint_id engine, queued_command command, std::int64_t generation);
    boost::asio::awaitable<void> awaitCompletion(base::endpoint_id engine, queued_command command, std::int64_t generation);
    boost::asio::awaitable<std::optional<engine_status>> queryStatus(base::endpoint_id engine, std::int64_t generation);
    /// Whether the answer to the engine's last command was lost.
    bool isOutcomeUnknown(const base::endpoint_id &engine) const;
    bool isComplete(const base::endpoint_id &engine, const queued_command &command) const;
    void cancel(const base::endpoint_id &engine, const queued_command &command);
    void finish(const base::endpoint_id &engine, const queued_command &command);
    void notify() const;

    boost::asio::any_io_executor m_executor;
    engine_commands &m_engines;
    engine_inventory &m_inventory;
    command_lease &m_lease;
    /// The settings that all engines of a service share; nullptr when the configuration has none.
    std::function<const engine_rule *(const base::service_id &)> m_rules;
    std::function<void()> m_listener;
    std::map<base::endpoint_id, std::deque<queued_command>> m_queues;
    /// Incremented when all commands are discarded, which ends the tasks.
    std::int64_t m_generation = 0;
    std::int64_t m_sent = 0;
    std::int64_t m_modelLoads = 0;
};

} // namespace chervilbend::fleet
