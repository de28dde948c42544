#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/control/endpoint_driver_pool.hpp>
#include <chervilbend/control/lease_manager.hpp>
#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_entry_sink.hpp>
#include <chervilbend/control/log_follower.hpp>
#include <chervilbend/control/planner_task.hpp>
#include <chervilbend/fakes/in_process_engine_control.hpp>
#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/fakes/in_process_weight_store.hpp>
#include <chervilbend/fakes/virtual_scheduler.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>

#include <memory>
#include <string>
#include <vector>

/// The control tasks of one node, on a separate io_context so that the node can be paused.
struct control_node {
    control_node(const std::string &name, std::int64_t incarnation, std::shared_ptr<chervilbend::fakes::log_store> store, std::uint64_t seed)
        : id(name)
        , log(std::move(store))
        , follower(context->get_executor(), log, state)
        , appender(context->get_executor(), log)
        , sink(context->get_executor(), appender, follower)
        , leases(id, chervilbend::base::incarnation(incarnation), state, sink, sink)
        , engines(seed)
        , drivers(state, leases, engines, sink)
        , demand(id)
        , weights(std::make_shared<chervilbend::fakes::weight_store_model>())
        , planner(state, leases, sink, demand, weights)
    {
        leases.setOutstandingCommandsCheck([this] { return drivers.hasOutstandingLoadsWithoutLease(); });
        follower.start();
        spawn(leases.run([this] { return eligible; }));
        spawn(drivers.run());
        spawn(planner.run());
    }

    ~control_node()
    {
        // The tasks hold references to the members below and must be destroyed first.
        context.reset();
    }

    void spawn(boost::asio::awaitable<void> task)
    {
        boost::asio::co_spawn(*context, std::move(task), boost::asio::detached);
    }

    std::unique_ptr<boost::asio::io_context> context = std::make_unique<boost::asio::io_context>();
    chervilbend::base::node_id id;
    std::vector<chervilbend::base::node_id> eligible;
    chervilbend::state::replicated_state state;
    chervilbend::fakes::in_process_log_service log;
    chervilbend::control::log_follower follower;
    chervilbend::control::log_appender appender;
    chervilbend::control::log_entry_sink sink;
    chervilbend::control::lease_manager leases;
    chervilbend::fakes::in_process_engine_control engines;
    chervilbend::control::endpoint_driver_pool drivers;
    chervilbend::membership::demand_tree demand;
    chervilbend::fakes::in_process_weight_store weights;
    chervilbend::control::planner_task planner;
    bool paused = false;
};

/// Simulates nodes, engines and a log in virtual time. Checks at every step that no lease has two holders and no engine is overcommitted.
class control_cluster
{
public:
    explicit control_cluster(int nodeCount, std::uint64_t seed = 1)
        : store(std::make_shared<chervilbend::fakes::log_store>(chervilbend::fakes::log_store_options{.seed = seed}))
        , m_seed(seed)
    {
        for (int i = 0; i < nodeCount; ++i) {
            incarnations.push_back(1);
            nodes.push_back(nullptr);
        }
        for (int i = 0; i < nodeCount; ++i) {
            start(i);
        }
    }

    static std::string nameOf(char kind, int index)
    {
        std::string name = std::to_string(index);
        name.insert(name.begin(), kind);
        return name;
    }

    static chervilbend::base::lease_name lease(int engine)
    {
        return chervilbend::state::endpointLease(chervilbend::base::endpoint_id(nameOf('e', engine)));
    }

    static chervilbend::base::item_id item(int model)
    {
        return chervilbend::base::item_id(nameOf('m', model) + "@1");
    }

    /// Adds a host with an engine that has 100 bytes of memory.
    void addEngine(int index, int zone, bool checksFencing)
    {
        chervilbend::external::host_entry host;
        host.id = nameOf('e', index);
        host.kind = chervilbend::external::host_kind::modelEngine;
        host.address = {"127.0.0.1", static_cast<std::uint16_t>(1'000 + index)};
        host.zone = chervilbend::base::zone_id(nameOf('z', zone));
        host.memory = chervilbend::base::byte_count(100);
        host.checksFencing = checksFencing;
        hosts.push_back(host);
        chervilbend::fakes::engine_options options;
        options.memory = host.memory;
        options.checksFencing = checksFencing;
        options.reportLag = chervilbend::base::milliseconds(300);
        engines.push_back(std::make_shared<chervilbend::fakes::engine_model>(options));
        updateHosts();
    }

    void removeHost(int engine)
    {
        std::erase_if(hosts, [&](const auto &host) { return host.id == nameOf('e', engine); });
        engines[static_cast<std::size_t>(engine)]->crash();
        updateHosts();
    }

    void updateHosts()
    {
        std::vector<chervilbend::external::host_entry> listed = hosts;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
            chervilbend::external::host_entry host;
            host.id = nameOf('n', i);
            listed.push_back(host);
        }
        for (auto &node : nodes) {
            if (node) {
                node->planner.hostsChanged(listed);
                for (std::size_t i = 0; i < engines.size(); ++i) {
                    node->engines.add({"127.0.0.1", static_cast<std::uint16_t>(1'000 + i)}, engines[i]);
                }
            }
        }
    }

    void declare(int models, std::int64_t bytes, int copies)
    {
        chervilbend::state::publish_entry publish;
        publish.publishId = "p";
        publish.declaration.service = chervilbend::base::service_id("s");
        for (int i = 0; i < models; ++i) {
            chervilbend::config::model_declaration model;
            model.name = nameOf('m', i);
            model.version.assign(1, '1');
            model.weights = chervilbend::base::byte_count(bytes);
            model.copies = copies;
            publish.declaration.models.push_back(model);
        }
        append(publish);
    }

    void append(const chervilbend::state::entry &entry)
    {
        store->append(chervilbend::state::encodeRecord(std::vector{entry}));
    }

    void start(int index)
    {
        const auto position = static_cast<std::size_t>(index);
        nodes[position] = std::make_unique<control_node>(nameOf('n', index), incarnations[position], store, m_seed + position);
        updateEligible();
        updateHosts();
    }

    /// Terminates the process of a node; its next start is a new incarnation.
    void kill(int index)
    {
        nodes[static_cast<std::size_t>(index)].reset();
        ++incarnations[static_cast<std::size_t>(index)];
        updateEligible();
    }

    void updateEligible()
    {
        std::vector<chervilbend::base::node_id> live;
        for (const auto &node : nodes) {
            if (node) {
                live.push_back(node->id);
            }
        }
        for (auto &node : nodes) {
            if (node) {
                node->eligible = live;
            }
        }
    }

    void run(std::int64_t milliseconds)
    {
        constexpr std::int64_t step = 20;
        for (std::int64_t done = 0; done < milliseconds; done += step) {
            time.advance(chervilbend::base::milliseconds(step));
            for (auto &node : nodes) {
                if (node && !node->paused) {
                    chervilbend::fakes::runUntilIdle(time, *node->context);
                }
            }
            check();
        }
    }

    /// Returns the index of the node that may act as the holder, or -1.
    int holder(const chervilbend::base::lease_name &name) const
    {
        int found = -1;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i] && nodes[i]->leases.holds(name)) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name.value() + " has two holders, seed " + std::to_string(m_seed), -1, found);
                found = static_cast<int>(i);
            }
        }
        return found;
    }

    int loadedAt(int model) const
    {
        int count = 0;
        for (const auto &engine : engines) {
            count += engine->isRunning() && engine->isLoaded(item(model)) ? 1 : 0;
        }
        return count;
    }

    chervilbend::base::manual_time_source time;
    std::shared_ptr<chervilbend::fakes::log_store> store;
    std::vector<chervilbend::external::host_entry> hosts;
    std::vector<std::shared_ptr<chervilbend::fakes::engine_model>> engines;
    std::vector<std::unique_ptr<control_node>> nodes;
    std::vector<std::int64_t> incarnations;

private:
    void check() const
    {
        holder(chervilbend::state::plannerLease());
        for (std::size_t i = 0; i < engines.size(); ++i) {
            holder(lease(static_cast<int>(i)));
            CPPUNIT_ASSERT_MESSAGE(nameOf('e', static_cast<int>(i)) + " is overcommitted, seed " + std::to_string(m_seed), !engines[i]->wasOvercommitted());
        }
    }

    std::uint64_t m_seed;
};
