#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against a node that was paused attributing the pause to the latency of its endpoints, and refusing requests because of it.
class process_pause_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_pause_test);
    CPPUNIT_TEST(ignoresSamplesAcrossAPause);
    CPPUNIT_TEST(countsSlowSamplesWithoutAPause);
    CPPUNIT_TEST_SUITE_END();

public:
    void ignoresSamplesAcrossAPause()
    {
        CPPUNIT_ASSERT_EQUAL(requests, acceptedAfterAnswers(withPause));
    }

    /// The same latency without a pause must count, so that the first test cannot pass by ignoring all samples.
    void countsSlowSamplesWithoutAPause()
    {
        // One request per second is admitted although it seems too late, so that the prediction gets corrected.
        CPPUNIT_ASSERT(acceptedAfterAnswers(withoutPause) <= 1);
    }

private:
    static constexpr bool withPause = true;
    static constexpr bool withoutPause = false;

    static constexpr int requests = 3;

    /// Returns how many requests with a deadline of 5 s are accepted after answers that took 60 s each. If @p paused, the process is paused
    /// during these answers.
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
            // The answer is handled before the periodic task that detects the pause.
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

CPPUNIT_TEST_SUITE_REGISTRATION(process_pause_test);
