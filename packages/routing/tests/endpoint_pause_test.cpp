#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against requests that are sent to an endpoint that has refused one and asked for a pause, and against requests that wait for its end.
class endpoint_pause_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_pause_test);
    CPPUNIT_TEST(nothingIsSentDuringThePause);
    CPPUNIT_TEST(requestThatOnlyPausedEndpointsServeIsRefusedAtOnce);
    CPPUNIT_TEST(retryGoesElsewhere);
    CPPUNIT_TEST(newProcessIsNotPaused);
    CPPUNIT_TEST_SUITE_END();

    static void refuse(director_driver &driver, const dispatch &sent, int pauseMs)
    {
        endpoint_notice notice;
        notice.pause = base::milliseconds(pauseMs);
        driver.director.noteAnswer(sent.request, notice);
    }

    /// Sends requests until the endpoint gets one, which it refuses.
    static void pauseEndpoint(director_driver &driver, const std::string &endpoint, int pauseMs)
    {
        dispatch sent = driver.send(director_driver::request());
        while (sent.endpoint.value() != endpoint) {
            driver.answer(sent.request);
            sent = driver.send(director_driver::request());
        }
        refuse(driver, sent, pauseMs);
        driver.director.finish(sent.request, request_outcome::refused);
    }

    static int sentTo(director_driver &driver, const std::string &endpoint, int requests)
    {
        int count = 0;
        for (int i = 0; i < requests; ++i) {
            const dispatch sent = driver.send(director_driver::request());
            count += sent.endpoint.value() == endpoint ? 1 : 0;
            driver.answer(sent.request, 1, 5);
        }
        return count;
    }

public:
    void nothingIsSentDuringThePause()
    {
        director_driver driver(2);
        sentTo(driver, "e0", 20);
        pauseEndpoint(driver, "e0", 3'000);
        CPPUNIT_ASSERT_EQUAL(0, sentTo(driver, "e0", 200));
        driver.clock.advance(base::milliseconds(1'500));
        CPPUNIT_ASSERT(sentTo(driver, "e0", 100) > 0);
    }

    void requestThatOnlyPausedEndpointsServeIsRefusedAtOnce()
    {
        director_driver driver(1);
        pauseEndpoint(driver, "e0", 2'000);
        const request_handle request = driver.submit(director_driver::request());
        CPPUNIT_ASSERT(driver.director.takeDispatches().empty());
        const std::vector<refusal> refusals = driver.director.takeRefusals();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refusals.size());
        CPPUNIT_ASSERT_EQUAL(request, refusals[0].request);
        driver.clock.advance(base::milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), driver.send(director_driver::request()).endpoint.value());
    }

    void retryGoesElsewhere()
    {
        director_driver driver(2);
        const dispatch sent = driver.send(director_driver::request());
        refuse(driver, sent, 1'000);
        CPPUNIT_ASSERT(driver.director.retry(sent.request, request_outcome::refused, driver.why));
        const std::vector<dispatch> again = driver.director.takeDispatches();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), again.size());
        CPPUNIT_ASSERT(again[0].endpoint != sent.endpoint);
    }

    void newProcessIsNotPaused()
    {
        director_driver driver(1);
        pauseEndpoint(driver, "e0", 60'000);
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id("e0");
        facts.pools = {"m"};
        facts.startedAt = 9;
        driver.director.setEndpoint(facts);
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), driver.send(director_driver::request()).endpoint.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_pause_test);
