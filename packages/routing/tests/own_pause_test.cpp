#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against a node that was paused charging its own pause to the endpoints and refusing requests for it.
class own_pause_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(own_pause_test);
    CPPUNIT_TEST(doesNotChargeItsPauseToAnEndpoint);
    CPPUNIT_TEST(chargesASlowEndpointWhileItRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void doesNotChargeItsPauseToAnEndpoint()
    {
        CPPUNIT_ASSERT_EQUAL(requests, acceptedAfterAnswers(pausedFor));
    }

    /// The same time without a pause does count, so the first test cannot pass by ignoring all samples.
    void chargesASlowEndpointWhileItRuns()
    {
        // One a second is let through although it seems too late, to correct the prediction.
        CPPUNIT_ASSERT(acceptedAfterAnswers(runningFor) <= 1);
    }

private:
    static constexpr bool pausedFor = true;
    static constexpr bool runningFor = false;

    static constexpr int requests = 3;

    /// How many requests that have 5 s are accepted after answers that took 60 s each, across a pause of this process or not.
    static int acceptedAfterAnswers(bool paused)
    {
        director_driver driver(1);
        for (int round = 0; round < 3; ++round) {
            driver.director.checkForPause();
            const request_handle request = driver.send(director_driver::request()).request;
            for (int step = 0; step < 300; ++step) {
                driver.clock.advance(traffic_director::pauseCheckInterval);
                if (!paused) {
                    driver.director.checkForPause();
                }
            }
            // The answer is handled before the task that would notice the pause.
            driver.director.firstByte(request);
            driver.director.progress(request, base::token_count(10));
            driver.director.finish(request, request_outcome::answered);
        }
        driver.director.checkForPause();
        driver.send(director_driver::request());
        int accepted = 0;
        for (int index = 0; index < requests; ++index) {
            request_facts urgent = director_driver::request();
            urgent.deadline = base::clock::now() + base::milliseconds(5'000);
            accepted += driver.submit(urgent) != 0 ? 1 : 0;
        }
        driver.director.takeDispatches();
        return accepted - static_cast<int>(driver.director.takeRefusals().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(own_pause_test);
