#include "simulated_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace chervilbend;

namespace
{

std::string model(int index)
{
    return std::string("m").append(std::to_string(index));
}

} // namespace

/// Guards against unreachable models, overcommitted memory, and moves that cost more than they gain.
class placement_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_planner_test);
    CPPUNIT_TEST(spreadsCopiesOverZones);
    CPPUNIT_TEST(restoresLostZoneInOrderOfImportance);
    CPPUNIT_TEST(followsDemandWithHysteresis);
    CPPUNIT_TEST(makesRoomWhenMemoryIsFull);
    CPPUNIT_TEST(makesRoomOnSeveralEndpointsConcurrently);
    CPPUNIT_TEST(dropsOldModelVersionAfterNewOneIsLoaded);
    CPPUNIT_TEST(dropsOldAdapterVersionAfterNewOneIsLoaded);
    CPPUNIT_TEST(avoidsEndpointThatNeverLoads);
    CPPUNIT_TEST(movesCopiesOffLeavingEndpoint);
    CPPUNIT_TEST(keepsInvariantsUnderRandomChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    void spreadsCopiesOverZones()
    {
        simulated_cluster cluster;
        for (int i = 0; i < 9; ++i) {
            cluster.addEndpoint(i, i % 3, 100);
        }
        for (int i = 0; i < 10; ++i) {
            cluster.declare(model(i), 20, 2, 50, 5);
        }
        cluster.runSeconds(60);
        for (int i = 0; i < 10; ++i) {
            const std::string name = model(i);
            CPPUNIT_ASSERT_EQUAL(2, cluster.loaded(name));
            std::set<base::zone_id> zones;
            for (const auto &[id, view] : cluster.endpoints) {
                if (view.items.contains(simulated_cluster::item(name))) {
                    zones.insert(view.zone);
                    CPPUNIT_ASSERT_MESSAGE("adapters are at the endpoint of their base model", view.items.contains(base::item_id(name + "@1/a4@1")));
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), zones.size());
        }
        CPPUNIT_ASSERT_EQUAL(20 * 6, cluster.loads);
        CPPUNIT_ASSERT_EQUAL(0, cluster.drops);
        CPPUNIT_ASSERT(cluster.maxInTransit <= 4);
    }

    void restoresLostZoneInOrderOfImportance()
    {
        simulated_cluster cluster;
        for (int i = 0; i < 6; ++i) {
            cluster.addEndpoint(i, i < 3 ? 0 : 1, 100);
        }
        for (int i = 0; i < 8; ++i) {
            cluster.declare(model(i), 20, 1, 10 * (i + 1));
        }
        cluster.runSeconds(30);
        std::set<std::string> lost;
        for (int i = 0; i < 8; ++i) {
            lost.insert(model(i));
        }
        for (int i = 3; i < 6; ++i) {
            for (const auto &[item, resident] : cluster.endpoints.at(simulated_cluster::endpoint(i)).items) {
                lost.erase(item.value().substr(0, 2));
            }
        }
        CPPUNIT_ASSERT(lost.size() >= 3);
        for (int i = 0; i < 3; ++i) {
            cluster.loseEndpoint(i);
        }
        while (!lost.empty()) {
            cluster.runSeconds(1);
            for (const auto &change : cluster.lastChanges) {
                const std::string restored = std::get<state::assign_entry>(change.entry).item.value().substr(0, 2);
                CPPUNIT_ASSERT_EQUAL_MESSAGE("the most important model is restored first", *lost.rbegin(), restored);
                lost.erase(restored);
            }
            CPPUNIT_ASSERT(cluster.elapsed < 60);
        }
    }

    void followsDemandWithHysteresis()
    {
        simulated_cluster cluster;
        for (int i = 0; i < 8; ++i) {
            cluster.addEndpoint(i, i % 2, 50);
        }
        for (int i = 0; i < 6; ++i) {
            cluster.declare(model(i), 20);
        }
        cluster.runSeconds(20);
        cluster.demand[simulated_cluster::item("m0")] = 3.0;
        cluster.runSeconds(40);
        CPPUNIT_ASSERT_MESSAGE("3.0 / 0.7 needs five copies", cluster.loaded("m0") >= 5);
        const int afterRise = cluster.loads + cluster.drops;
        for (int i = 0; i < 60; ++i) {
            cluster.demand[simulated_cluster::item("m0")] = i % 2 == 0 ? 1.0 : 3.0;
            cluster.runSeconds(10);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("demand that oscillates within a minute causes no moves", afterRise, cluster.loads + cluster.drops);
    }

    void makesRoomWhenMemoryIsFull()
    {
        simulated_cluster cluster;
        for (int i = 0; i < 4; ++i) {
            cluster.addEndpoint(i, i % 2, 40);
        }
        cluster.declare("m0", 20, 2);
        cluster.declare("m1", 20, 2);
        cluster.demand[simulated_cluster::item("m0")] = 4.0;
        cluster.runSeconds(60);
        CPPUNIT_ASSERT_EQUAL(4, cluster.loaded("m0"));
        cluster.demand[simulated_cluster::item("m0")] = 0.1;
        cluster.demand[simulated_cluster::item("m1")] = 3.0;
        cluster.declare("m2", 40, 1, 90);
        // m2 needs a whole endpoint, and none is empty: copies must be relocated or dropped first.
        for (int i = 0; i < 240; ++i) {
            cluster.runSeconds(1);
            CPPUNIT_ASSERT(cluster.loaded("m0") >= 1 && cluster.loaded("m1") >= 1);
        }
        CPPUNIT_ASSERT_EQUAL(1, cluster.loaded("m2"));
        // m1 is loaded on all endpoints but that of m2; no further copy of m0 could be replaced by it.
        CPPUNIT_ASSERT_EQUAL(3, cluster.loaded("m1"));
        CPPUNIT_ASSERT(cluster.loaded("m0") >= 2);
    }

    /// Guards against endpoints freeing memory one after the other, so that a demand peak is over before the copies for it are loaded.
    void makesRoomOnSeveralEndpointsConcurrently()
    {
        simulated_cluster cluster;
        cluster.store = {8, 8, 30, 0};
        for (int i = 0; i < 8; ++i) {
            cluster.addEndpoint(i, i % 2, 40);
        }
        cluster.declare("m0", 20);
        cluster.declare("m1", 20);
        cluster.demand[simulated_cluster::item("m0")] = 8.0;
        cluster.demand[simulated_cluster::item("m1")] = 8.0;
        cluster.runSeconds(120);
        CPPUNIT_ASSERT(cluster.loaded("m0") + cluster.loaded("m1") >= 14);
        cluster.declare("m2", 20);
        cluster.demand[simulated_cluster::item("m0")] = 0.1;
        cluster.runSeconds(300);
        const int before = cluster.loaded("m2");
        cluster.demand[simulated_cluster::item("m2")] = 12.0;
        cluster.runSeconds(8);
        const std::string copies = std::to_string(before) + " copies, then " + std::to_string(cluster.loaded("m2"));
        CPPUNIT_ASSERT_MESSAGE(copies, cluster.loaded("m2") >= before + 3);
    }

    void dropsOldModelVersionAfterNewOneIsLoaded()
    {
        simulated_cluster cluster;
        cluster.addEndpoint(0, 0, 100);
        cluster.declare("m0", 30);
        cluster.runSeconds(10);
        auto &declared = cluster.services.begin()->second.declaration.models.front();
        declared.version = "2";
        const base::item_id newer("m0@2");
        while (cluster.loaded("m0") > 0) {
            const auto &items = cluster.endpoints.begin()->second.items;
            cluster.runSeconds(1);
            const bool gone = cluster.count("m0", state::residency::loaded) == 0;
            CPPUNIT_ASSERT(!gone || (items.contains(newer) && items.at(newer).state == state::residency::loaded));
            CPPUNIT_ASSERT(cluster.elapsed < 60);
        }
        declared.version = "3";
        declared.weights = base::byte_count(90);
        cluster.runSeconds(20);
        CPPUNIT_ASSERT_MESSAGE("without memory for both versions, the old one is dropped first",
                               cluster.endpoints.begin()->second.items.contains(base::item_id("m0@3")));
    }

    /// Guards against dropping the old version of an adapter as soon as a new one is declared, which happens when the comparison of names
    /// leaves out the adapter's part.
    void dropsOldAdapterVersionAfterNewOneIsLoaded()
    {
        simulated_cluster cluster;
        cluster.addEndpoint(0, 0, 100);
        cluster.declare("m0", 30, 1, 50, 1);
        cluster.runSeconds(10);
        cluster.services.begin()->second.declaration.models.front().adapters.front().version = "2";
        const auto &items = cluster.endpoints.begin()->second.items;
        const auto isLoaded = [&items](const char *item) {
            const auto found = items.find(base::item_id(item));
            return found != items.end() && found->second.state == state::residency::loaded;
        };
        CPPUNIT_ASSERT(isLoaded("m0@1/a0@1"));
        while (!isLoaded("m0@1/a0@2")) {
            cluster.runSeconds(1);
            CPPUNIT_ASSERT(isLoaded("m0@1/a0@1") || isLoaded("m0@1/a0@2"));
            CPPUNIT_ASSERT(cluster.elapsed < 60);
        }
        cluster.runSeconds(5);
        CPPUNIT_ASSERT(!items.contains(base::item_id("m0@1/a0@1")));
    }

    void avoidsEndpointThatNeverLoads()
    {
        simulated_cluster cluster;
        for (int i = 0; i < 3; ++i) {
            cluster.addEndpoint(i, i, 100);
        }
        cluster.stalledEndpoints.insert(simulated_cluster::endpoint(0));
        for (int i = 0; i < 6; ++i) {
            cluster.declare(model(i), 20, 1);
        }
        cluster.runSeconds(400);
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT_EQUAL(1, cluster.loaded(model(i)));
        }
    }

    void movesCopiesOffLeavingEndpoint()
    {
        simulated_cluster cluster;
        for (int i = 0; i < 3; ++i) {
            cluster.addEndpoint(i, i, 100);
        }
        for (int i = 0; i < 4; ++i) {
            cluster.declare(model(i), 20, 1);
        }
        cluster.runSeconds(20);
        cluster.usable.erase(simulated_cluster::endpoint(0));
        cluster.runSeconds(20);
        cluster.loseEndpoint(0);
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(1, cluster.loaded(model(i)));
        }
    }

    void keepsInvariantsUnderRandomChanges()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            const std::string label = "seed " + std::to_string(seed);
            std::mt19937_64 random(seed);
            const auto pick = [&random](int low, int high) {
                return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
            };
            simulated_cluster cluster;
            const int endpoints = pick(6, 14);
            for (int i = 0; i < endpoints; ++i) {
                cluster.addEndpoint(i, i % 3, pick(80, 120));
            }
            const int models = endpoints;
            for (int i = 0; i < models; ++i) {
                // Uses less than a third of the memory in total, so that all models still fit after the losses.
                cluster.declare(model(i), pick(5, 25), 1 + i % 2, pick(1, 100), pick(0, 5));
            }
            cluster.runSeconds(60);
            int lost = 0;
            for (int step = 0; step < 20; ++step) {
                for (int i = 0; i < models; ++i) {
                    cluster.demand[simulated_cluster::item(model(i))] = pick(0, 3) == 0 ? pick(0, 30) / 10.0 : 0.1;
                }
                const bool lose = step % 5 == 4 && lost < endpoints / 3;
                if (lose) {
                    cluster.loseEndpoint(lost++);
                }
                for (int second = 0; second < 30; ++second) {
                    cluster.runSeconds(1);
                    for (int i = 0; i < models && (second >= 20 || !lose); ++i) {
                        CPPUNIT_ASSERT_MESSAGE(label + " " + model(i), cluster.loaded(model(i)) >= 1);
                    }
                }
            }
            CPPUNIT_ASSERT_MESSAGE(label, cluster.maxInTransit <= cluster.store.slots);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_planner_test);
