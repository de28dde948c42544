#include "control_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace chervilbend;

/// Guards against leases with two holders at the same time, leases that remain without a holder, and unnecessary moves of leases.
class lease_manager_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_manager_test);
    CPPUNIT_TEST(takesOverAfterAKill);
    CPPUNIT_TEST(pausedHolderStopsHoldingBeforeTakeover);
    CPPUNIT_TEST(handsOverBeforeShutdown);
    CPPUNIT_TEST(handsOverOneByOneToANewNode);
    CPPUNIT_TEST(recoversAfterALogOutage);
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
        int vacantMs = 0;
        while (cluster.holder(state::plannerLease()) < 0) {
            cluster.run(100);
            vacantMs += 100;
            CPPUNIT_ASSERT(vacantMs < 12'000);
        }
        // The last heartbeat was up to 2 s old; no node may take the lease before the term and the margin have passed.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(vacantMs), vacantMs >= 5'000);
        cluster.run(3'000);
        for (int engine = 0; engine < 6; ++engine) {
            CPPUNIT_ASSERT(cluster.holder(control_cluster::lease(engine)) >= 0);
        }
    }

    void pausedHolderStopsHoldingBeforeTakeover()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        const int planner = cluster.holder(state::plannerLease());
        control_node &paused = *cluster.nodes[static_cast<std::size_t>(planner)];
        paused.paused = true;
        // The invariant check in every step includes the paused node, which must not hold the lease while another node does.
        cluster.run(20'000);
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) != planner);
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) >= 0);
        CPPUNIT_ASSERT_MESSAGE("the paused node must detect the expiry by its clock, before reading the log", !paused.leases.holds(state::plannerLease()));
        paused.paused = false;
        cluster.run(20'000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the intended holder must get its lease back", planner, cluster.holder(state::plannerLease()));
    }

    void handsOverBeforeShutdown()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        const int planner = cluster.holder(state::plannerLease());
        for (const auto &node : cluster.nodes) {
            // Same effect as the announcement of the leaving member.
            std::erase(node->eligible, cluster.nodes[static_cast<std::size_t>(planner)]->id);
        }
        cluster.nodes[static_cast<std::size_t>(planner)]->leases.stop();
        const std::uint64_t appends = cluster.store->appendCount();
        cluster.run(1'000);
        for (int engine = 0; engine < 6; ++engine) {
            const int owner = cluster.holder(control_cluster::lease(engine));
            CPPUNIT_ASSERT(owner >= 0 && owner != planner);
        }
        CPPUNIT_ASSERT(cluster.holder(state::plannerLease()) >= 0);
        // One record hands over all leases, and each of the three nodes sends at most one heartbeat per second.
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
        cluster.incarnations.push_back(1);
        cluster.start(2);
        int moved = 0;
        for (int second = 0; second < 30; ++second) {
            cluster.run(2'000);
            int held = 0;
            for (int engine = 0; engine < 6; ++engine) {
                held += cluster.holder(control_cluster::lease(engine)) == 2 ? 1 : 0;
            }
            // Each of the two other nodes hands over at most one lease per interval.
            CPPUNIT_ASSERT(held - moved <= 2);
            moved = held;
        }
        for (int engine = 0; engine < 6; ++engine) {
            const int owner = cluster.holder(control_cluster::lease(engine));
            CPPUNIT_ASSERT(owner == 2 || owner == before[engine]);
        }
        CPPUNIT_ASSERT(moved > 0);
    }

    void recoversAfterALogOutage()
    {
        control_cluster cluster(3);
        addEngines(cluster);
        cluster.run(15'000);
        fakes::log_faults outage;
        outage.outage = true;
        cluster.store->setFaults(outage);
        cluster.run(30'000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the term must end while the log is down", -1, cluster.holder(state::plannerLease()));
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
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the lease must not be handed to a node that cannot renew it", 0, changes);
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
