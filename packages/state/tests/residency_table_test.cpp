#include "state_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::state;

/// Guards against memory that is freed while an engine may still load an item into it, and against drops that make a model unavailable.
class residency_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(residency_table_test);
    CPPUNIT_TEST(assignBeyondMemoryIsRejected);
    CPPUNIT_TEST(staleTokensAreRejected);
    CPPUNIT_TEST(lastLoadedCopyOfDeclaredModelIsNotDropped);
    CPPUNIT_TEST(lostItemIsAssignedAgain);
    CPPUNIT_TEST(quarantineKeepsMemoryReservedWithoutFencing);
    CPPUNIT_TEST(staleHeartbeatDoesNotLiftQuarantine);
    CPPUNIT_TEST(endOfFormerOwnerLiftsQuarantine);
    CPPUNIT_TEST(returningEndpointKeepsItemsReserved);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto e = "e";
    static constexpr auto n = "n";

public:
    void assignBeyondMemoryIsRejected()
    {
        state_fixture log;
        log.assign(e, "m@1", 60);
        log.assign(e, "m@2", 41);
        CPPUNIT_ASSERT(log.item(e, "m@1") && !log.item(e, "m@2"));
        log.assign(e, "m@2", 40);
        CPPUNIT_ASSERT(log.item(e, "m@2"));
        log.load(e, "m@1");
        log.drop(e, "m@1");
        log.assign(e, "m@3", 60);
        CPPUNIT_ASSERT(!log.item(e, "m@3"));
        log.release(e, "m@1");
        log.assign(e, "m@3", 60);
        CPPUNIT_ASSERT(log.item(e, "m@3"));
    }

    void staleTokensAreRejected()
    {
        state_fixture log;
        log.assign(e, "m@1", 10);
        const base::log_offset formerOwner = log.state.ownerToken(base::endpoint_id(e));
        log.acquire(e, "b", 1);
        log.add(loaded_entry{base::endpoint_id(e), base::item_id("m@1"), formerOwner});
        CPPUNIT_ASSERT(log.item(e, "m@1")->state == residency::assigned);
        const base::log_offset formerPlanner = log.planner;
        log.planner = log.add(lease_entry{plannerLease(), formerPlanner, lease_action::transfer, base::node_id("q"), base::incarnation(1)});
        log.add(assign_entry{base::endpoint_id(e), base::item_id("m@2"), base::byte_count(1), formerPlanner});
        CPPUNIT_ASSERT(!log.item(e, "m@2"));
        log.add(lease_entry{plannerLease(), formerPlanner, lease_action::acquire, base::node_id("p"), base::incarnation(1)});
        CPPUNIT_ASSERT_EQUAL(log.planner, log.state.plannerToken());
    }

    void lastLoadedCopyOfDeclaredModelIsNotDropped()
    {
        state_fixture log;
        config::service_declaration declaration;
        declaration.service = base::service_id("s");
        declaration.models.resize(1);
        declaration.models[0].name = "m";
        declaration.models[0].version = "1";
        const base::log_offset version = log.add(publish_entry{base::log_offset(0), "p1", "a", declaration});
        log.assign(e, "m@1", 10);
        log.assign(n, "m@1", 10);
        log.load(e, "m@1");
        log.drop(e, "m@1");
        CPPUNIT_ASSERT(log.item(e, "m@1")->state == residency::loaded);
        log.load(n, "m@1");
        log.drop(e, "m@1");
        log.drop(n, "m@1");
        CPPUNIT_ASSERT(log.item(e, "m@1")->state == residency::dropping && log.item(n, "m@1")->state == residency::loaded);
        declaration.models.clear();
        log.add(publish_entry{version, "p2", "a", declaration});
        log.drop(n, "m@1");
        CPPUNIT_ASSERT(log.item(n, "m@1")->state == residency::dropping);
    }

    void lostItemIsAssignedAgain()
    {
        state_fixture log;
        log.assign(e, "m@1", 10);
        log.load(e, "m@1");
        log.add(loaded_entry{base::endpoint_id(e), base::item_id("m@1"), log.state.ownerToken(base::endpoint_id(e)), true});
        CPPUNIT_ASSERT(log.item(e, "m@1")->state == residency::assigned);
    }

    void quarantineKeepsMemoryReservedWithoutFencing()
    {
        state_fixture log;
        for (const char *engine : {e, n}) {
            log.assign(engine, "m@1", 10);
            log.acquire(engine, "b", 1);
            log.drop(engine, "m@1");
            log.release(engine, "m@1");
        }
        CPPUNIT_ASSERT(!log.item(e, "m@1") && log.item(n, "m@1"));
        log.add(heartbeat_entry{base::node_id("a"), base::incarnation(1), base::log_offset(log.head), true, base::milliseconds(0)});
        log.release(n, "m@1");
        CPPUNIT_ASSERT(log.item(n, "m@1"));
        log.add(heartbeat_entry{base::node_id("a"), base::incarnation(1), base::log_offset(log.head), false, base::milliseconds(0)});
        log.release(n, "m@1");
        CPPUNIT_ASSERT(!log.item(n, "m@1"));
    }

    void staleHeartbeatDoesNotLiftQuarantine()
    {
        state_fixture log;
        log.assign(n, "m@1", 10);
        const base::log_offset lost = log.acquire(n, "b", 1);
        log.drop(n, "m@1");
        log.add(heartbeat_entry{base::node_id("a"), base::incarnation(1), lost - base::log_offset(1), false, base::milliseconds(0)});
        log.release(n, "m@1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.state.quarantined().size());
    }

    void endOfFormerOwnerLiftsQuarantine()
    {
        state_fixture newerIncarnation;
        state_fixture reportedAfter;
        state_fixture reportedBefore;
        reportedBefore.add(incarnation_ended_entry{base::node_id("a"), base::incarnation(1)});
        for (state_fixture *log : {&newerIncarnation, &reportedAfter, &reportedBefore}) {
            log->assign(n, "m@1", 10);
            log->acquire(n, "b", 1);
            log->drop(n, "m@1");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), newerIncarnation.state.quarantined().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reportedBefore.state.quarantined().size());
        newerIncarnation.add(heartbeat_entry{base::node_id("a"), base::incarnation(2), base::log_offset(0), true, base::milliseconds(0)});
        reportedAfter.add(incarnation_ended_entry{base::node_id("a"), base::incarnation(1)});
        for (state_fixture *log : {&newerIncarnation, &reportedAfter, &reportedBefore}) {
            log->release(n, "m@1");
            CPPUNIT_ASSERT(!log->item(n, "m@1"));
        }
    }

    void returningEndpointKeepsItemsReserved()
    {
        state_fixture log;
        log.assign(e, "m@1", 60);
        log.load(e, "m@1");
        endpoint_entry change{base::endpoint_id(e), "127.0.0.1:1", base::zone_id("a"), base::byte_count(100), true, true, log.planner};
        log.add(change);
        CPPUNIT_ASSERT(!log.state.endpoints().contains(base::endpoint_id(e)));
        change.removed = false;
        log.add(change);
        log.assign(e, "m@2", 50);
        CPPUNIT_ASSERT(log.item(e, "m@1")->state == residency::dropping && !log.item(e, "m@2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(residency_table_test);
