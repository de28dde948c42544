#pragma once

#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/engine_commands.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace chervilbend::fleet::test
{

/// Actual state of one engine, with its statuses of the last 2 s.
struct fake_engine {
    /// Increases when the process restarts under the same ID.
    std::int64_t startedAt = 1;
    std::int64_t commands = 0;
    std::int64_t highestToken = 0;
    std::map<std::string, std::set<std::string>> models;
    std::string loading;
    base::time_point busyUntil;
    std::deque<std::pair<base::time_point, engine_status>> history;
    /// Number of loads that were accepted although they exceeded the memory or adapter slots.
    int overcommitted = 0;
    int loads = 0;
};

/// Simulated engines. Answers may be lost, with the command executed before, seconds later, or never; statuses are delayed.
class fake_engines : public engine_commands
{
public:
    fake_engines(boost::asio::any_io_executor executor, std::map<std::string, fake_engine> &all, const engine_rule &rule, unsigned seed)
        : m_executor(std::move(executor))
        , engines(all)
        , m_rule(rule)
        , m_random(seed)
    {
    }

    /// Fraction of the commands whose answers are lost, 0 to 1.
    double lostAnswerRate = 0;
    bool isDisconnected = false;
    /// Engines that this node cannot reach.
    std::set<std::string> unreachable;

    boost::asio::awaitable<command_result> send(net::address /*engine*/, base::endpoint_id instance, engine_command command) override
    {
        co_await net::sleepFor(base::milliseconds(2));
        if (isDisconnected || unreachable.contains(instance.value())) {
            co_return command_result::notSent;
        }
        const double sample = std::uniform_real_distribution<double>(0, 1)(m_random);
        if (sample >= lostAnswerRate) {
            co_return apply(engines.at(instance.value()), command);
        }
        const int outcome = std::uniform_int_distribution<int>(0, 2)(m_random);
        if (outcome == 0) {
            apply(engines.at(instance.value()), command);
        } else if (outcome == 1) {
            boost::asio::co_spawn(m_executor, applyDelayed(instance.value(), command), boost::asio::detached);
        }
        co_await net::sleepFor(base::milliseconds(250));
        co_return command_result::unknown;
    }

    boost::asio::awaitable<std::optional<engine_status>> status(net::address /*engine*/, base::endpoint_id instance) override
    {
        co_await net::sleepFor(base::milliseconds(2));
        if (isDisconnected || unreachable.contains(instance.value())) {
            co_return fail(base::error_kind::endpointRefused, "disconnected");
        }
        const fake_engine &engine = engines.at(instance.value());
        const base::milliseconds lag(std::uniform_int_distribution<int>(50, 300)(m_random));
        for (auto snapshot = engine.history.rbegin(); snapshot != engine.history.rend(); ++snapshot) {
            if (base::clock::now() - snapshot->first >= lag) {
                co_return snapshot->second;
            }
        }
        co_return fail(base::error_kind::endpointFailed, "no status yet");
    }

    /// Call every 10 ms of virtual time, once for all nodes.
    static void tick(std::map<std::string, fake_engine> &all)
    {
        for (auto &[id, engine] : all) {
            if (!engine.loading.empty() && base::clock::now() >= engine.busyUntil) {
                engine.models[engine.loading];
                engine.loading.clear();
            }
            engine.history.emplace_back(base::clock::now(), statusOf(engine));
            while (engine.history.size() > 200) {
                engine.history.pop_front();
            }
        }
    }

    static engine_status statusOf(const fake_engine &engine)
    {
        engine_status status;
        for (const auto &[name, adapters] : engine.models) {
            status.models.push_back({name, {adapters.begin(), adapters.end()}});
        }
        status.busy = base::clock::now() < engine.busyUntil;
        status.commands = engine.commands;
        status.startedAt = engine.startedAt;
        return status;
    }

    /// The status some time ago, or the oldest that is kept.
    static engine_status statusBefore(const fake_engine &engine, base::milliseconds age)
    {
        for (auto snapshot = engine.history.rbegin(); snapshot != engine.history.rend(); ++snapshot) {
            if (base::clock::now() - snapshot->first >= age) {
                return snapshot->second;
            }
        }
        return engine.history.empty() ? statusOf(engine) : engine.history.front().second;
    }

    /// Restarts the process: it holds nothing and has lost its command count and highest token.
    static void restart(fake_engine &engine)
    {
        fake_engine fresh;
        fresh.startedAt = engine.startedAt + 1;
        fresh.overcommitted = engine.overcommitted;
        fresh.loads = engine.loads;
        engine = std::move(fresh);
    }

private:
    boost::asio::awaitable<void> applyDelayed(std::string id, engine_command command)
    {
        co_await net::sleepFor(base::milliseconds(std::uniform_int_distribution<int>(500, 6'000)(m_random)));
        apply(engines.at(id), command);
    }

    command_result apply(fake_engine &engine, const engine_command &command)
    {
        if (command.fencingToken < engine.highestToken) {
            return command_result::fenced;
        }
        engine.highestToken = command.fencingToken;
        const auto model = engine.models.find(command.model);
        const bool isPresent = model != engine.models.end() && (command.adapter.empty() || model->second.contains(command.adapter));
        if (!command.adapter.empty() && command.action == engine_action::load && model == engine.models.end()) {
            return command_result::invalid;
        }
        if (isPresent == (command.action == engine_action::load)) {
            return command_result::alreadyHolds;
        }
        if (base::clock::now() < engine.busyUntil || (command.expectedCommands && *command.expectedCommands != engine.commands)) {
            return command_result::conflict;
        }
        ++engine.commands;
        return command.action == engine_action::load ? load(engine, command) : unload(engine, command);
    }

    command_result load(fake_engine &engine, const engine_command &command)
    {
        if (!command.adapter.empty()) {
            std::size_t count = 1;
            for (const auto &[name, adapters] : engine.models) {
                count += adapters.size();
            }
            engine.overcommitted += static_cast<int>(count) > m_rule.adapterSlots ? 1 : 0;
            engine.models[command.model].insert(command.adapter);
            return command_result::accepted;
        }
        double used = m_rule.findModel(command.model)->weightMb;
        for (const auto &[name, adapters] : engine.models) {
            used += m_rule.findModel(name)->weightMb;
        }
        engine.overcommitted += used > m_rule.memoryMb ? 1 : 0;
        ++engine.loads;
        engine.loading = command.model;
        engine.busyUntil = base::clock::now() + m_rule.findModel(command.model)->loadTime;
        return command_result::accepted;
    }

    command_result unload(fake_engine &engine, const engine_command &command)
    {
        if (command.adapter.empty()) {
            engine.models.erase(command.model);
            engine.busyUntil = base::clock::now() + base::milliseconds(std::uniform_int_distribution<int>(0, 800)(m_random));
            return command_result::accepted;
        }
        engine.models[command.model].erase(command.adapter);
        return command_result::alreadyHolds;
    }

    boost::asio::any_io_executor m_executor;

public:
    std::map<std::string, fake_engine> &engines;

private:
    const engine_rule &m_rule;
    std::minstd_rand m_random;
};

} // namespace chervilbend::fleet::test
