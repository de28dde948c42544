#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against requests that continue to be sent to slow endpoints, and against the ejection of too large a part of a pool.
class slow_endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slow_endpoint_test);
    CPPUNIT_TEST(ejectsASlowEndpointAndReadmitsIt);
    CPPUNIT_TEST(learnsTheSpeedOfAnswersThatAreNotStreamed);
    CPPUNIT_TEST(ejectsAThirdOfThePoolAtMost);
    CPPUNIT_TEST(sendsLessToAModeratelySlowEndpoint);
    CPPUNIT_TEST(spacesProbesOverAllNodes);
    CPPUNIT_TEST(retriesADownEndpointOnceASecond);
    CPPUNIT_TEST_SUITE_END();

public:
    void ejectsASlowEndpointAndReadmitsIt()
    {
        director_driver driver(6, frequentProbes());
        run(driver, 200, {"e0"}, 5);
        std::map<std::string, int> counts = run(driver, 200, {"e0"}, 5);
        CPPUNIT_ASSERT(counts["e0"] > 0 && counts["e0"] < 200 / 12);
        run(driver, 400, {}, 1);
        counts = run(driver, 200, {}, 1);
        CPPUNIT_ASSERT(counts["e0"] > 200 / 12);
    }

    /// Guards against attributing the time to the first byte to the prompt alone. The first byte of an answer that is not streamed arrives
    /// with the last, so every request seemed a hundred times as slow, and those with a deadline were refused.
    void learnsTheSpeedOfAnswersThatAreNotStreamed()
    {
        director_driver driver(3);
        for (int round = 0; round < 30; ++round) {
            // Several requests at a time, since one per second is admitted even if it seems too late.
            std::vector<request_handle> open;
            for (int index = 0; index < 4; ++index) {
                request_facts facts = director_driver::request("a", base::work_class::normal, 100);
                facts.deadline = base::clock::now() + base::milliseconds(5000);
                const dispatch sent = driver.send(facts);
                CPPUNIT_ASSERT(!sent.endpoint.empty());
                open.push_back(sent.request);
            }
            driver.clock.advance(base::milliseconds(2000));
            for (const request_handle request : open) {
                driver.director.firstByte(request);
                driver.director.progress(request, base::token_count(100));
                driver.director.finish(request, request_outcome::answered);
            }
        }
    }

    void ejectsAThirdOfThePoolAtMost()
    {
        // With the default probe spacing, the few probes distinguish an ejected endpoint from one that only has the minimum weight.
        director_driver driver(9);
        const std::set<std::string> slow{"e0", "e1", "e2", "e3"};
        run(driver, 400, slow, 8);
        std::map<std::string, int> counts = run(driver, 400, slow, 8);
        int ejected = 0;
        for (const std::string &each : slow) {
            ejected += counts[each] <= 4 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, ejected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), counts.size());
    }

    void sendsLessToAModeratelySlowEndpoint()
    {
        director_driver driver(4);
        run(driver, 200, {"e0"}, 2.5);
        std::map<std::string, int> counts = run(driver, 400, {"e0"}, 2.5);
        CPPUNIT_ASSERT(counts["e0"] > 400 / 50 && counts["e0"] < 400 / 6);
    }

    /// With many nodes, one probe per second from each of them would be a significant load.
    void spacesProbesOverAllNodes()
    {
        director_driver driver(6, frequentProbes());
        driver.director.setNodeCount(64);
        run(driver, 200, {"e0"}, 5);
        std::map<std::string, int> counts = run(driver, 300, {"e0"}, 5);
        // 300 requests take about 66 s.
        CPPUNIT_ASSERT(counts["e0"] <= 2);
    }

    void retriesADownEndpointOnceASecond()
    {
        director_driver driver(2);
        int refused = 0;
        for (int index = 0; index < 100; ++index) {
            const dispatch sent = driver.send(director_driver::request());
            if (sent.endpoint.value() == "e0") {
                ++refused;
                driver.director.finish(sent.request, request_outcome::notSent);
                driver.clock.advance(base::milliseconds(100));
            } else {
                driver.answer(sent.request, 4);
            }
        }
        // 100 requests at 100 ms each take 10 s.
        CPPUNIT_ASSERT(refused >= 5 && refused <= 12);
    }

private:
    static director_settings frequentProbes()
    {
        director_settings settings;
        settings.requestsBetweenProbes = 20;
        return settings;
    }

    /// Sends requests one after the other; endpoints in @p slow take @p factor times as long. Returns the number of requests per endpoint.
    static std::map<std::string, int> run(director_driver &driver, int requests, const std::set<std::string> &slow, double factor)
    {
        std::map<std::string, int> counts;
        for (int index = 0; index < requests; ++index) {
            const dispatch sent = driver.send(director_driver::request());
            ++counts[sent.endpoint.value()];
            driver.answer(sent.request, 10, static_cast<int>(20 * (slow.contains(sent.endpoint.value()) ? factor : 1)));
        }
        return counts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_endpoint_test);
