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

/// A command that waits for its turn at an engine. The ledger has been told of it.
struct queued_command {
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter;
    /// How long the engine is expected to take.
    base::milliseconds expected{0};
    /// For the log line.
    std::string why;
};

/// Sends commands to engines: one task per engine, one command at a time, each with the number of commands that the engine must have accepted
/// before. A command whose answer was lost is settled by the engine's own word before the next one is sent.
class command_dispatcher
{
public:
    /// References must outlive the driver.
    command_dispatcher(const boost::asio::any_io_executor &executor,
                       engine_commands &engines,
                       engine_inventory &ledger,
                       command_lease &lease,
                       std::function<const engine_rule *(const base::service_id &)> rules);

    /// Commands.

    void enqueue(const base::endpoint_id &engine, queued_command command);
    /// Finds out what an engine holds and how many commands it has accepted, if that is not known.
    void survey(const base::endpoint_id &engine);
    /// Forgets all commands, when the lease is lost.
    void clear();
    /// Called after each command that has changed what an engine holds.
    void onChange(std::function<void()> listener);

    /// Queries.

    /// Commands that were sent since the start.
    std::int64_t sent() const
    {
        return m_sent;
    }
    /// Loads of models among them.
    std::int64_t modelLoads() const
    {
        return m_modelLoads;
    }

private:
    enum class step {
        done,
        again,
        dropped,
    };

    boost::asio::awaitable<void> drive(base::endpoint_id engine, std::int64_t generation);
    boost::asio::awaitable<void> settle(base::endpoint_id engine, std::int64_t generation);
    boost::asio::awaitable<bool> execute(base::endpoint_id engine, queued_command command, std::int64_t generation);
    boost::asio::awaitable<step> sendOnce(base::endpoint_id engine, queued_command command, std::int64_t generation);
    boost::asio::awaitable<void> awaitEnd(base::endpoint_id engine, queued_command command, std::int64_t generation);
    boost::asio::awaitable<std::optional<engine_status>> ask(base::endpoint_id engine, std::int64_t generation);
    /// Whether the answer to the engine's last command was lost.
    bool isInDoubt(const base::endpoint_id &engine) const;
    bool isOver(const base::endpoint_id &engine, const queued_command &command) const;
    void revert(const base::endpoint_id &engine, const queued_command &command);
    void finish(const base::endpoint_id &engine, const queued_command &command);
    void notify() const;

    boost::asio::any_io_executor m_executor;
    engine_commands &m_engines;
    engine_inventory &m_ledger;
    command_lease &m_lease;
    /// What the engines of a service have in common; nullptr when no configuration says so.
    std::function<const engine_rule *(const base::service_id &)> m_rules;
    std::function<void()> m_listener;
    std::map<base::endpoint_id, std::deque<queued_command>> m_queues;
    /// Changes when all commands are forgotten, which ends the tasks.
    std::int64_t m_generation = 0;
    std::int64_t m_sent = 0;
    std::int64_t m_modelLoads = 0;
};

} // namespace chervilbend::fleet
