#include "director_driver.hpp"

#include <chervilbend/routing/leaving_endpoints.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against requests that are sent to an endpoint after it has said in an answer that it is about to stop.
class leaving_endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaving_endpoint_test);
    CPPUNIT_TEST(nothingIsSentAfterTheAnswer);
    CPPUNIT_TEST(otherRegistrationDataDoesNotRevokeIt);
    CPPUNIT_TEST(newProcessIsUsed);
    CPPUNIT_TEST(otherNodesLearnOfIt);
    CPPUNIT_TEST(announcementEnds);
    CPPUNIT_TEST_SUITE_END();

    static void sayLeaving(director_driver &driver, const std::string &endpoint)
    {
        dispatch sent;
        do {
            sent = driver.send(director_driver::request());
            endpoint_notice notice;
            notice.isLeaving = sent.endpoint.value() == endpoint;
            driver.director.noteAnswer(sent.request, notice);
            driver.answer(sent.request);
        } while (sent.endpoint.value() != endpoint);
    }

    static void assertAllGoTo(director_driver &driver, const std::string &endpoint)
    {
        for (int i = 0; i < 30; ++i) {
            const dispatch sent = driver.send(director_driver::request());
            CPPUNIT_ASSERT_EQUAL(endpoint, sent.endpoint.value());
            driver.answer(sent.request);
        }
    }

public:
    void nothingIsSentAfterTheAnswer()
    {
        director_driver driver(2);
        sayLeaving(driver, "e0");
        assertAllGoTo(driver, "e1");
    }

    void otherRegistrationDataDoesNotRevokeIt()
    {
        director_driver driver(2);
        sayLeaving(driver, "e0");
        driver.addEndpoint("e0");
        assertAllGoTo(driver, "e1");
        driver.director.removeEndpoint(base::endpoint_id("e0"));
        driver.addEndpoint("e0");
        assertAllGoTo(driver, "e1");
    }

    void newProcessIsUsed()
    {
        director_driver driver(2);
        sayLeaving(driver, "e0");
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id("e0");
        facts.pools = {"m"};
        facts.startedAt = 9;
        driver.director.setEndpoint(facts);
        driver.director.removeEndpoint(base::endpoint_id("e1"));
        assertAllGoTo(driver, "e0");
    }

    void otherNodesLearnOfIt()
    {
        director_driver driver(2);
        driver.director.endpointLeaves({base::endpoint_id("e0"), 7});
        driver.director.endpointLeaves({base::endpoint_id("e1"), 0});
        assertAllGoTo(driver, "e0");
    }

    void announcementEnds()
    {
        base::manual_time_source clock;
        leaving_endpoints leaving;
        int notes = 0;
        leaving.onNote([&](const endpoint_process &) { ++notes; });
        const endpoint_process process{base::endpoint_id("e0"), 3};
        leaving.note(process);
        leaving.note(process);
        CPPUNIT_ASSERT_EQUAL(1, notes);
        CPPUNIT_ASSERT(leaving.recent() == std::vector<endpoint_process>{process});
        clock.advance(base::milliseconds(30'000));
        CPPUNIT_ASSERT(leaving.recent().empty());
        CPPUNIT_ASSERT(leaving.contains(process));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_endpoint_test);
