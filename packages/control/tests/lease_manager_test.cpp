#include "control_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace chervilbend;

/// Guards against two holders of a lease at one time, against leases without a holder, and against shares that jump about.
class lease_manager_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_manager_test);
    CPPUNIT_TEST(takesOverAfterAKill);
    CPPUNIT_TEST(pausedHolderGivesUpFirst);
    CPPUNIT_TEST(handsOverBeforeAStop);
    CPPUNIT_TEST(handsOverOneByOneToANewNode);
    CPPUNIT_TEST(goesOnAfterALogOutage);
    CPPUNIT_TEST(intendedHolderWithoutTheLogDoesNotBlockALease);
    CPPUNIT_TEST_SUITE_END();

public:
    void takesOverAfterAKill()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        const int planner = cluster.holder(state::plannerLease());
        CPPUNIT_ASSERT(planner >= 0);
        cluster.kill(planner);
        int without = 0;
        while (cluster.holder(state::plannerLease()) < 0) {
            cluster.run(100);
            without += 100;
            CPPUNIT_ASSERT(without < 12'000);
        }
        // The last heartbeat was up to 2 s old; nobody may take the lease before the term and the margin are over.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(without), without >= 5'000);
        cluster.run(3'000);
        for (int engine = 0; engine < 6; ++engine) {
            CPPUNIT_ASSERT(cluster.holder(control_cluster::lease(engine)) >= 0);
        }
    }

    void pausedHolderGivesUpFirst()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        const int planner = cluster.holder(state::plannerLease());
        control_node &paused = *cluster.nodes[static_cast<std::size_t>(planner)];
        paused.paused = true;
        // The check in every step counts the paused node, too: it must not hold when another does.
        cluster.run(20'000);
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) != planner);
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) >= 0);
        CPPUNIT_ASSERT_MESSAGE("before it has read anything, it knows by its clock", !paused.keeper.holds(state::plannerLease()));
        paused.paused = false;
        cluster.run(20'000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the intended holder gets its lease back", planner, cluster.holder(state::plannerLease()));
    }

    void handsOverBeforeAStop()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        const int planner = cluster.holder(state::plannerLease());
        for (const auto &node : cluster.nodes) {
            // As announced by the leaving member.
            std::erase(node->eligible, cluster.nodes[static_cast<std::size_t>(planner)]->id);
        }
        cluster.nodes[static_cast<std::size_t>(planner)]->keeper.stop();
        const std::uint64_t appends = cluster.store->appendCount();
        cluster.run(1'000);
        for (int engine = 0; engine < 6; ++engine) {
            const int owner = cluster.holder(control_cluster::lease(engine));
            CPPUNIT_ASSERT(owner >= 0 && owner != planner);
        }
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) >= 0);
        // One record for all leases, and at most one heartbeat of each node in a second.
        CPPUNIT_ASSERT(cluster.store->appendCount() - appends <= 4);
    }

    void handsOverOneByOneToANewNode()
    {
        control_cluster cluster(2);
        addEngines(cluster);
        cluster.run(15'000);
        std::map<int, int> before;
        for (int engine = 0; engine < 6; ++engine) {
            before[engine] = cluster.holder(control_cluster::lease(engine));
        }
        cluster.nodes.push_back(nullptr);
        cluster.lives.push_back(1);
        cluster.start(2);
        int moved = 0;
        for (int second = 0; second < 30; ++second) {
            cluster.run(2'000);
            int now = 0;
            for (int engine = 0; engine < 6; ++engine) {
                now += cluster.holder(control_cluster::lease(engine)) == 2 ? 1 : 0;
            }
            // Two nodes hand over at most one lease each.
            CPPUNIT_ASSERT(now - moved <= 2);
            moved = now;
        }
        for (int engine = 0; engine < 6; ++engine) {
            const int owner = cluster.holder(control_cluster::lease(engine));
            CPPUNIT_ASSERT(owner == 2 || owner == before[engine]);
        }
        CPPUNIT_ASSERT(moved > 0);
    }

    void goesOnAfterALogOutage()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        fakes::log_faults outage;
        outage.outage = true;
        cluster.store->setFaults(outage);
        cluster.run(30'000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the term ends without the log", -1, cluster.holder(state::plannerLease()));
        cluster.store->setFaults({});
        cluster.run(20'000);
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) >= 0);
        for (int engine = 0; engine < 6; ++engine) {
            CPPUNIT_ASSERT(cluster.holder(control_cluster::lease(engine)) >= 0);
        }
    }

    void intendedHolderWithoutTheLogDoesNotBlockALease()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        const int planner = cluster.holder(state::plannerLease());
        cluster.nodes[static_cast<std::size_t>(planner)]->log.setReachable(false);
        cluster.run(25'000);
        int changes = 0;
        int last = cluster.holder(state::plannerLease());
        CPPUNIT_ASSERT(last >= 0 && last != planner);
        for (int second = 0; second < 60; ++second) {
            cluster.run(1'000);
            changes += cluster.holder(state::plannerLease()) != last ? 1 : 0;
            last = cluster.holder(state::plannerLease());
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it must not be handed to a node that cannot renew it", 0, changes);
    }

private:
    void addEngines(control_cluster &cluster)
    {
        for (int engine = 0; engine < 6; ++engine) {
            cluster.addEngine(engine, engine % 3, true);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_manager_test);
