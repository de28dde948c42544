#include "control_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace chervilbend;

/// Guards against overcommitted engines, lost items that are not reloaded, and commands from nodes that no longer own the endpoint.
class endpoint_driver_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_driver_test);
    CPPUNIT_TEST(placesAndReloadsAfterEngineLosses);
    CPPUNIT_TEST(commandsOnlyFencingEnginesDuringALogOutage);
    CPPUNIT_TEST(quarantinesItemsThatAPausedOwnerMayLoad);
    CPPUNIT_TEST(lateLoadDoesNotOvercommit);
    CPPUNIT_TEST(survivesRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void placesAndReloadsAfterEngineLosses()
    {
        control_cluster cluster(3);
        addEngines(cluster, 6);
        cluster.declare(6, 20, 2);
        cluster.run(40'000);
        expectLoaded(cluster, 6, 2);
        cluster.engines[0]->restart();
        cluster.run(15'000);
        expectLoaded(cluster, 6, 2);
        CPPUNIT_ASSERT_MESSAGE("the owner must reload the items that the engine lost", cluster.engines[0]->used() > base::byte_count(0));
        cluster.removeHost(1);
        cluster.run(40'000);
        expectLoaded(cluster, 6, 2);
        // Removes the third zone, engines 2 and 5. Of the remaining 300 bytes, 240 are needed.
        cluster.removeHost(2);
        cluster.removeHost(5);
        cluster.run(60'000);
        expectLoaded(cluster, 6, 2);
    }

    void commandsOnlyFencingEnginesDuringALogOutage()
    {
        control_cluster cluster(3);
        addEngines(cluster, 6);
        cluster.declare(8, 20, 2);
        cluster.run(40'000);
        fakes::log_faults outage;
        outage.outage = true;
        cluster.store->setFaults(outage);
        cluster.run(20'000);
        const auto before = cluster.engines[0]->used();
        CPPUNIT_ASSERT(cluster.engines[0]->options().checksFencing && !cluster.engines[1]->options().checksFencing);
        cluster.engines[0]->restart();
        cluster.engines[1]->restart();
        cluster.run(20'000);
        CPPUNIT_ASSERT_MESSAGE("the owner must still reload an engine that checks fencing tokens, since its token is the highest",
                               cluster.engines[0]->used() == before);
        CPPUNIT_ASSERT_MESSAGE("an engine without fencing must receive no command after the end of the term",
                               cluster.engines[1]->used() == base::byte_count(0));
        cluster.store->setFaults({});
        cluster.run(60'000);
        expectLoaded(cluster, 8, 2);
    }

    void quarantinesItemsThatAPausedOwnerMayLoad()
    {
        control_cluster cluster(3);
        cluster.addEngine(0, 0, false);
        cluster.declare(2, 40, 1);
        cluster.run(60'000);
        expectLoaded(cluster, 2, 1);
        const int owner = cluster.holder(control_cluster::lease(0));
        cluster.nodes[static_cast<std::size_t>(owner)]->paused = true;
        cluster.run(20'000);
        // After the withdrawal the memory remains reserved until the paused owner has sent a heartbeat.
        state::publish_entry withdrawal;
        withdrawal.publishId = "q";
        withdrawal.base = cluster.nodes[static_cast<std::size_t>((owner + 1) % 3)]->state.services().begin()->second.version;
        withdrawal.declaration.service = base::service_id("s");
        cluster.append(withdrawal);
        cluster.run(120'000);
        const auto &state = cluster.nodes[static_cast<std::size_t>((owner + 1) % 3)]->state;
        CPPUNIT_ASSERT(state.endpoints().begin()->second.reserved == base::byte_count(80));
        cluster.nodes[static_cast<std::size_t>(owner)]->paused = false;
        cluster.run(60'000);
        CPPUNIT_ASSERT(state.endpoints().begin()->second.reserved == base::byte_count(0));
    }

    void lateLoadDoesNotOvercommit()
    {
        for (const bool checksFencing : {true, false}) {
            control_cluster cluster(2);
            cluster.addEngine(0, 0, checksFencing);
            fakes::engine_faults late;
            late.duplicates = 1;
            late.lateBy = base::milliseconds(25'000);
            for (const auto &node : cluster.nodes) {
                node->engines.setFaults(late);
            }
            // Each publish replaces a model that uses 60 of the 100 bytes by another such model: a delayed load of the old model must not
            // overcommit the engine together with the new one.
            for (int version = 0; version < 6; ++version) {
                state::publish_entry publish;
                publish.publishId = std::to_string(version);
                publish.declaration.service = base::service_id("s");
                publish.declaration.models.resize(1);
                publish.declaration.models.front().name.assign(1, 'm');
                publish.declaration.models.front().version = std::to_string(version);
                publish.declaration.models.front().weights = base::byte_count(60);
                const auto &services = cluster.nodes[0]->state.services();
                publish.base = services.empty() ? base::log_offset(0) : services.begin()->second.version;
                cluster.append(publish);
                cluster.run(8'000);
            }
            cluster.run(120'000);
            CPPUNIT_ASSERT(cluster.engines[0]->isLoaded(base::item_id("m@5")));
        }
    }

    void survivesRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            randomFaults(seed);
        }
    }

private:
    static void addEngines(control_cluster &cluster, int count)
    {
        for (int engine = 0; engine < count; ++engine) {
            cluster.addEngine(engine, engine % 3, engine % 2 == 0);
        }
    }

    static void expectLoaded(control_cluster &cluster, int models, int copies)
    {
        for (int model = 0; model < models; ++model) {
            CPPUNIT_ASSERT_MESSAGE(control_cluster::nameOf('m', model) + " at " + std::to_string(cluster.loadedAt(model)), cluster.loadedAt(model) >= copies);
        }
    }

    /// Injects pauses, process kills, engine restarts, log faults, command faults and demand changes that move models. The cluster checks its
    /// invariants at each step; at the end all models must be loaded.
    void randomFaults(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const auto pick = [&random](int count) {
            return static_cast<int>(random() % static_cast<std::uint64_t>(count));
        };
        control_cluster cluster(4, seed);
        addEngines(cluster, 6);
        cluster.declare(10, 20, 1);
        for (int step = 0; step < 60; ++step) {
            const auto node = static_cast<std::size_t>(pick(4));
            fakes::log_faults log;
            fakes::engine_faults commands;
            switch (pick(7)) {
            case 0:
                if (cluster.nodes[node]) {
                    cluster.nodes[node]->paused = !cluster.nodes[node]->paused;
                }
                break;
            case 1:
                cluster.kill(static_cast<int>(node));
                break;
            case 2:
                cluster.engines[static_cast<std::size_t>(pick(6))]->restart();
                break;
            case 3:
                log.outage = pick(2) == 0;
                log.lostAnswers = 0.2;
                log.lateAppends = 0.1;
                cluster.store->setFaults(log);
                break;
            case 4:
                commands.lateCommands = 0.2;
                commands.duplicates = 0.2;
                commands.lostAnswers = 0.1;
                if (cluster.nodes[node]) {
                    cluster.nodes[node]->engines.setFaults(commands);
                }
                break;
            case 5:
                for (const auto &each : cluster.nodes) {
                    if (each) {
                        each->demand.setLocalDemand({{control_cluster::item(pick(10)), 3.0}, {control_cluster::item(pick(10)), 2.0}});
                    }
                }
                break;
            default:
                cluster.store->setFaults({});
                if (!cluster.nodes[node]) {
                    cluster.start(static_cast<int>(node));
                }
                break;
            }
            cluster.run(1'000 + 500 * pick(16));
        }
        cluster.store->setFaults({});
        for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
            if (!cluster.nodes[node]) {
                cluster.start(static_cast<int>(node));
            }
            cluster.nodes[node]->paused = false;
            cluster.nodes[node]->engines.setFaults(fakes::engine_faults());
        }
        cluster.run(120'000);
        for (int model = 0; model < 10; ++model) {
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " model " + std::to_string(model), cluster.loadedAt(model) >= 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_driver_test);
