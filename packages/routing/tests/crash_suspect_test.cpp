#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against a request that crashes one engine after another, and against refusing requests that did not cause a crash.
class crash_suspect_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_suspect_test);
    CPPUNIT_TEST(refusesACrashingRequestAndLetsOthersRecover);
    CPPUNIT_TEST(withdrawsSuspicionWhenTheEndpointWasAlive);
    CPPUNIT_TEST(reportsUnconfirmedCrashesAsAtMostOne);
    CPPUNIT_TEST(oneCallerCannotGetAnothersRequestRefused);
    CPPUNIT_TEST(holdsASuspectReportedByAnotherNode);
    CPPUNIT_TEST(forgetsSuspicionsAfterTheirLifetime);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesACrashingRequestAndLetsOthersRecover()
    {
        director_driver driver(4);
        for (int index = 0; index < 4; ++index) {
            driver.report(director_driver::name(index), 0, 1);
        }
        const request_facts poison = director_driver::request("bad");
        const request_handle bad = driver.submit(poison);
        std::set<request_handle> open;
        for (int index = 0; index < 12; ++index) {
            open.insert(driver.submit(director_driver::request("good")));
        }
        std::vector<dispatch> running = driver.director.takeDispatches();
        int crashes = 0;
        bool refused = false;
        for (int round = 0; round < 60 && (!refused || !open.empty()); ++round) {
            const auto crashing = std::find_if(running.begin(), running.end(), [&](const dispatch &each) { return each.request == bad; });
            const std::string crashed = crashing == running.end() ? std::string() : crashing->endpoint.value();
            crashes += crashed.empty() ? 0 : 1;
            for (const dispatch &each : running) {
                if (each.endpoint.value() != crashed) {
                    driver.director.finish(each.request, request_outcome::answered);
                    open.erase(each.request);
                } else if (!driver.director.retry(each.request, request_outcome::connectionLost, driver.why)) {
                    CPPUNIT_ASSERT_EQUAL(bad, each.request);
                    CPPUNIT_ASSERT(driver.why.kind == base::error_kind::requestRefused);
                    refused = true;
                }
            }
            running = driver.wait(250);
            if (!crashed.empty()) {
                driver.report(crashed, 0, 1 + crashes);
            }
        }
        CPPUNIT_ASSERT(refused && open.empty());
        CPPUNIT_ASSERT_EQUAL(2, crashes);
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(poison));
        const auto reported = driver.director.suspicions();
        CPPUNIT_ASSERT(std::any_of(reported.begin(), reported.end(), [&](const auto &each) { return each.first == poison.fingerprint && each.second == 2; }));
    }

    /// A connection that is lost for another reason must not count as a crash.
    void withdrawsSuspicionWhenTheEndpointWasAlive()
    {
        director_driver driver(1);
        driver.report("e0", 0, 1);
        const request_facts facts = director_driver::request();
        for (int index = 0; index < 5; ++index) {
            const dispatch sent = driver.send(facts);
            CPPUNIT_ASSERT(!sent.endpoint.empty());
            driver.director.finish(sent.request, request_outcome::connectionLost);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.director.suspicions().size());
            driver.wait(500);
            driver.report("e0", 0, 1);
            CPPUNIT_ASSERT(driver.director.suspicions().empty());
        }
    }

    /// Other nodes are not told when a loss is dismissed, so unconfirmed losses must not make them refuse the request.
    void reportsUnconfirmedCrashesAsAtMostOne()
    {
        director_driver driver(3);
        const request_facts facts = director_driver::request();
        const dispatch first = driver.send(facts);
        CPPUNIT_ASSERT(driver.director.retry(first.request, request_outcome::connectionLost, driver.why));
        const std::vector<dispatch> second = driver.wait(6000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
        CPPUNIT_ASSERT(!driver.director.retry(second[0].request, request_outcome::connectionLost, driver.why));
        CPPUNIT_ASSERT_EQUAL(1, driver.director.suspicions().at(0).second);
        driver.director.removeEndpoint(first.endpoint);
        driver.director.removeEndpoint(second[0].endpoint);
        CPPUNIT_ASSERT_EQUAL(2, driver.director.suspicions().at(0).second);
    }

    /// Guards against one account causing the refusal of another's requests. The fingerprint includes the account, so the same body has
    /// another fingerprint under another account.
    void oneCallerCannotGetAnothersRequestRefused()
    {
        director_driver driver(4);
        request_facts ownRequest = director_driver::request("mine");
        const request_facts otherRequest = director_driver::request("theirs");
        driver.director.mergeRemoteSuspicion(otherRequest.fingerprint, 2);
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(otherRequest));
        for (int index = 0; index < 20; ++index) {
            const dispatch sent = driver.send(ownRequest);
            CPPUNIT_ASSERT(!sent.endpoint.empty());
            driver.answer(sent.request);
        }
        // A request that was present at one crash is held back, but answered.
        driver.director.mergeRemoteSuspicion(ownRequest.fingerprint, 1);
        const request_handle held = driver.submit(ownRequest);
        const std::vector<dispatch> sent = driver.wait(6000);
        CPPUNIT_ASSERT(held != 0 && sent.size() == 1);
        driver.answer(sent[0].request);
        CPPUNIT_ASSERT(!driver.send(ownRequest).endpoint.empty());
    }

    /// The second crash, on another node, must become known here before the request runs.
    void holdsASuspectReportedByAnotherNode()
    {
        director_driver driver(4);
        const request_facts facts = director_driver::request();
        driver.director.mergeRemoteSuspicion(facts.fingerprint, 1);
        driver.wait(5000);
        const request_handle held = driver.submit(facts);
        CPPUNIT_ASSERT(driver.wait(1500).empty());
        driver.director.mergeRemoteSuspicion(facts.fingerprint, 2);
        CPPUNIT_ASSERT(driver.wait(6000).empty());
        const std::vector<refusal> refused = driver.director.takeRefusals();
        CPPUNIT_ASSERT(refused.size() == 1 && refused[0].request == held && refused[0].why.kind == base::error_kind::requestRefused);
    }

    void forgetsSuspicionsAfterTheirLifetime()
    {
        director_driver driver(4);
        request_facts facts = director_driver::request();
        facts.deadline += base::milliseconds(3'600'000);
        driver.director.mergeRemoteSuspicion(facts.fingerprint, 2);
        driver.clock.advance(base::milliseconds(3'599'000));
        driver.wait(250);
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(facts));
        driver.clock.advance(base::milliseconds(3'000));
        driver.wait(250);
        CPPUNIT_ASSERT(!driver.send(director_driver::request()).endpoint.empty());
        CPPUNIT_ASSERT(driver.submit(facts) != 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspect_test);
