#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against streams that go on at an endpoint of another software version than the one that began them.
class stream_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_version_test);
    CPPUNIT_TEST(brokenStreamGoesOnAtItsVersion);
    CPPUNIT_TEST(answerWithoutEventsMayBeginAtAnotherVersion);
    CPPUNIT_TEST(streamThatIsTakenUpGoesToItsVersion);
    CPPUNIT_TEST(versionThatHasLeftIsRefusedForGood);
    CPPUNIT_TEST(versionElsewhereInTheServiceIsRefusedForNow);
    CPPUNIT_TEST(waitingResumptionIsRefusedWhenItsVersionLeaves);
    CPPUNIT_TEST(busyVersionDoesNotHoldUpOtherRequests);
    CPPUNIT_TEST(lostEndpointIsNotTriedWithAResumption);
    CPPUNIT_TEST(roomAtAnotherVersionIsNoReasonToGiveUpAnAttempt);
    CPPUNIT_TEST(takenUpStreamNeedsTimeOnlyForItsRest);
    CPPUNIT_TEST_SUITE_END();

    static void addEndpoint(director_driver &driver, const std::string &id, const std::string &version, bool draining = false, int slots = 0)
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id(id);
        facts.pools = {"m", "service"};
        facts.softwareVersion = base::software_version(version);
        facts.draining = draining;
        facts.slots = slots;
        driver.director.setEndpoint(facts);
    }

    /// Without it, a request that has lost a connection waits until the others have been found harmless.
    static director_settings withoutIsolation()
    {
        director_settings settings;
        settings.isolateSuspects = false;
        return settings;
    }

    static request_facts resumption(const std::string &version)
    {
        request_facts facts = director_driver::request();
        facts.retryGroup = "service";
        facts.softwareVersion = base::software_version(version);
        return facts;
    }

    /// Three endpoints of version 1 and three of version 2.
    static void addTwoVersions(director_driver &driver)
    {
        for (int i = 0; i < 6; ++i) {
            addEndpoint(driver, director_driver::name(i), i % 2 == 0 ? "1" : "2");
        }
    }

    static dispatch retry(director_driver &driver, request_handle request, request_outcome outcome)
    {
        CPPUNIT_ASSERT_MESSAGE(driver.why.text, driver.director.retry(request, outcome, driver.why));
        const std::vector<dispatch> sent = driver.director.takeDispatches();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        return sent.front();
    }

public:
    void brokenStreamGoesOnAtItsVersion()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            director_driver driver(0, withoutIsolation(), seed);
            addTwoVersions(driver);
            const dispatch first = driver.send(director_driver::request());
            driver.director.firstByte(first.request);
            driver.director.bindToVersion(first.request);
            const dispatch second = retry(driver, first.request, request_outcome::connectionLost);
            CPPUNIT_ASSERT_EQUAL(first.softwareVersion, second.softwareVersion);
            CPPUNIT_ASSERT(first.endpoint != second.endpoint);
            const dispatch third = retry(driver, first.request, request_outcome::refused);
            CPPUNIT_ASSERT_EQUAL(first.softwareVersion, third.softwareVersion);
        }
    }

    /// The version belongs to the events that the caller has, not to the attempt.
    void answerWithoutEventsMayBeginAtAnotherVersion()
    {
        director_driver driver(0, withoutIsolation());
        addEndpoint(driver, "e0", "1");
        const dispatch first = driver.send(director_driver::request());
        addEndpoint(driver, "e1", "2");
        const dispatch second = retry(driver, first.request, request_outcome::refused);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), second.endpoint.value());
        driver.director.bindToVersion(first.request);
        addEndpoint(driver, "e2", "1");
        addEndpoint(driver, "e3", "2");
        CPPUNIT_ASSERT_EQUAL(std::string("e3"), retry(driver, first.request, request_outcome::connectionLost).endpoint.value());
    }

    void streamThatIsTakenUpGoesToItsVersion()
    {
        director_driver driver(0);
        addTwoVersions(driver);
        for (int i = 0; i < 30; ++i) {
            const std::string version = i % 3 == 0 ? "1" : "2";
            const dispatch sent = driver.send(resumption(version));
            CPPUNIT_ASSERT_EQUAL(version, sent.softwareVersion.value());
            driver.answer(sent.request);
        }
    }

    void versionThatHasLeftIsRefusedForGood()
    {
        director_driver driver(0);
        addEndpoint(driver, "e0", "1", true);
        addEndpoint(driver, "e1", "2");
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(resumption("1")));
        CPPUNIT_ASSERT(driver.why.kind == base::error_kind::notResumable);
    }

    void versionElsewhereInTheServiceIsRefusedForNow()
    {
        director_driver driver(0);
        addEndpoint(driver, "e1", "2");
        endpoint_facts other;
        other.endpoint = base::endpoint_id("e0");
        other.pools = {"n", "service"};
        other.softwareVersion = base::software_version("1");
        driver.director.setEndpoint(other);
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(resumption("1")));
        CPPUNIT_ASSERT(driver.why.kind == base::error_kind::noEndpoint);
    }

    void waitingResumptionIsRefusedWhenItsVersionLeaves()
    {
        director_settings settings;
        settings.slotFactor = 1;
        director_driver driver(0, settings);
        addEndpoint(driver, "e0", "1", false, 1);
        addEndpoint(driver, "e1", "2", false, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), driver.send(resumption("1")).endpoint.value());
        CPPUNIT_ASSERT(driver.send(resumption("1")).endpoint.empty());
        driver.director.removeEndpoint(base::endpoint_id("e0"));
        CPPUNIT_ASSERT(driver.wait(500).empty());
        const std::vector<refusal> refusals = driver.director.takeRefusals();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refusals.size());
        CPPUNIT_ASSERT(refusals[0].why.kind == base::error_kind::notResumable);
    }

    void busyVersionDoesNotHoldUpOtherRequests()
    {
        director_settings settings;
        settings.slotFactor = 1;
        director_driver driver(0, settings);
        addEndpoint(driver, "e0", "1", false, 1);
        addEndpoint(driver, "e1", "2", false, 1);
        const dispatch running = driver.send(resumption("1"));
        const request_handle waiting = driver.submit(resumption("1"));
        CPPUNIT_ASSERT(driver.director.takeDispatches().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), driver.send(director_driver::request()).endpoint.value());
        driver.answer(running.request);
        const std::vector<dispatch> sent = driver.director.takeDispatches();
        CPPUNIT_ASSERT(sent.size() == 1 && sent[0].request == waiting && sent[0].endpoint.value() == "e0");
    }

    /// What answers at its address next may be another process, of another version.
    void lostEndpointIsNotTriedWithAResumption()
    {
        director_driver driver(0);
        addEndpoint(driver, "e0", "1");
        addEndpoint(driver, "e1", "2");
        const dispatch lost = driver.send(resumption("1"));
        CPPUNIT_ASSERT(!driver.director.retry(lost.request, request_outcome::notSent, driver.why));
        CPPUNIT_ASSERT(driver.why.kind == base::error_kind::noEndpoint);
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(resumption("1")));
    }

    /// Its caller has less time left than when it began, so it would be refused if the whole stream were predicted again.
    void takenUpStreamNeedsTimeOnlyForItsRest()
    {
        director_driver driver(0);
        addEndpoint(driver, "e0", "1");
        for (int i = 0; i < 30; ++i) {
            driver.answer(driver.send(director_driver::request("a", base::work_class::normal, 100)).request, 100);
        }
        request_facts whole = resumption("1");
        whole.maxTokens = base::token_count(100);
        whole.deadline = base::clock::now() + base::milliseconds(600);
        CPPUNIT_ASSERT(!driver.send(whole).endpoint.empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the first of a second is admitted on trial", request_handle(0), driver.submit(whole));
        request_facts rest = whole;
        rest.receivedTokens = base::token_count(90);
        CPPUNIT_ASSERT(!driver.send(rest).endpoint.empty());
    }

    void roomAtAnotherVersionIsNoReasonToGiveUpAnAttempt()
    {
        director_driver driver(0);
        addEndpoint(driver, "e0", "1");
        addEndpoint(driver, "e1", "2");
        const dispatch sent = driver.send(resumption("1"));
        CPPUNIT_ASSERT(!driver.director.allowsRetry(sent.request));
        addEndpoint(driver, "e2", "1");
        CPPUNIT_ASSERT(driver.director.allowsRetry(sent.request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_version_test);
