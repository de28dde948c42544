#include "director_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace chervilbend;
using namespace chervilbend::routing;
using base::work_class;

/// Tests the order in which requests are sent, shed and retried.
class adaptive_director_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adaptive_director_test);
    CPPUNIT_TEST(doesNotHerdOnOneStaleReport);
    CPPUNIT_TEST(keepsShortWorkFromWaitingBehindLongWork);
    CPPUNIT_TEST(countsAStreamAsLongOnceItIsLong);
    CPPUNIT_TEST(sendsUrgentWorkFirstButDoesNotStarveBatchWork);
    CPPUNIT_TEST(sharesSlotsBetweenAccounts);
    CPPUNIT_TEST(shedsTheLowestValueFirst);
    CPPUNIT_TEST(refusesWhatCannotMeetItsDeadline);
    CPPUNIT_TEST(admitsLateWorkOnceASecondToCorrectThePrediction);
    CPPUNIT_TEST(firstDispatchHasItsOwnBound);
    CPPUNIT_TEST(retryIsOfferedOnlyWithRoomAndTimeElsewhere);
    CPPUNIT_TEST(retriesAreBoundedPerServiceAndOverAllNodes);
    CPPUNIT_TEST(knownSlotsSetTheLimit);
    CPPUNIT_TEST(stopsARetryStorm);
    CPPUNIT_TEST(doesNotRetryWhatMayHaveRun);
    CPPUNIT_TEST(sendsNothingToDrainingOrFullEndpoints);
    CPPUNIT_TEST(prefersTheCachedPrefixOnlyWithinBounds);
    CPPUNIT_TEST(decidesTheSameForTheSameSeed);
    CPPUNIT_TEST(forgetsEndedRequestsAndRemovedPools);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Nodes that all see the same stale report must not all send to the endpoint that was idle when it was made.
    void doesNotHerdOnOneStaleReport()
    {
        int sentToE0 = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            director_driver driver(10, {}, seed);
            for (int index = 0; index < 10; ++index) {
                driver.report(director_driver::name(index), index == 0 ? 0 : 8, 1, 1500);
            }
            sentToE0 += driver.send(director_driver::request()).endpoint.value() == "e0" ? 1 : 0;
        }
        // Two draws out of ten include e0 with a probability of 0.19; always choosing the least loaded endpoint would give 100.
        CPPUNIT_ASSERT(sentToE0 > 5 && sentToE0 < 40);
    }

    void keepsShortWorkFromWaitingBehindLongWork()
    {
        director_driver driver(1, fixedLimit(8));
        trainCostPredictor(driver);
        for (int index = 0; index < 20; ++index) {
            driver.send(director_driver::request("a", work_class::normal, 1000));
        }
        // Long requests get at most a share of 0.45 of the 8 slots; the rest stays free for short requests.
        for (int index = 0; index < 4; ++index) {
            CPPUNIT_ASSERT(!driver.send(director_driver::request()).endpoint.empty());
        }
    }

    void countsAStreamAsLongOnceItIsLong()
    {
        director_driver driver(1, fixedLimit(8));
        trainCostPredictor(driver);
        for (int index = 0; index < 4; ++index) {
            const dispatch underestimated = driver.send(director_driver::request("a", work_class::normal, 60));
            driver.director.firstByte(underestimated.request);
            driver.clock.advance(base::milliseconds(1000));
            driver.director.progress(underestimated.request, base::token_count(59));
        }
        CPPUNIT_ASSERT(driver.send(director_driver::request("a", work_class::normal, 1000)).endpoint.empty());
        CPPUNIT_ASSERT(!driver.send(director_driver::request()).endpoint.empty());
    }

    void sendsUrgentWorkFirstButDoesNotStarveBatchWork()
    {
        director_driver driver(1, fixedLimit(1));
        dispatch running = driver.send(director_driver::request());
        std::set<request_handle> batch;
        for (int index = 0; index < 5; ++index) {
            batch.insert(driver.submit(director_driver::request("b", work_class::batch)));
        }
        int batchSent = 0;
        int urgentSentFirst = 0;
        for (int index = 0; index < 100; ++index) {
            // Urgent requests alone would occupy the slot forever.
            driver.submit(director_driver::request("a", work_class::urgent));
            driver.answer(running.request);
            running = driver.director.takeDispatches().at(0);
            const bool isBatch = batch.contains(running.request);
            batchSent += isBatch ? 1 : 0;
            urgentSentFirst += batchSent == 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(urgentSentFirst >= 5);
        CPPUNIT_ASSERT(batchSent >= 3 && batchSent <= 10);
    }

    void sharesSlotsBetweenAccounts()
    {
        director_driver driver(1, fixedLimit(1));
        dispatch running = driver.send(director_driver::request());
        std::map<request_handle, std::string> owners;
        for (int index = 0; index < 200; ++index) {
            owners[driver.submit(director_driver::request("flood"))] = "flood";
        }
        for (int index = 0; index < 5; ++index) {
            owners[driver.submit(director_driver::request("small"))] = "small";
        }
        int small = 0;
        for (int index = 0; index < 12; ++index) {
            driver.answer(running.request);
            running = driver.director.takeDispatches().at(0);
            small += owners[running.request] == "small" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(5, small);
    }

    void shedsTheLowestValueFirst()
    {
        director_settings settings = fixedLimit(1);
        settings.queueMaximum = 20;
        director_driver driver(1, settings);
        driver.send(director_driver::request());
        std::map<request_handle, std::string> waiting;
        for (int index = 0; index < 10; ++index) {
            waiting[driver.submit(director_driver::request("a", work_class::batch))] = "batch";
            waiting[driver.submit(director_driver::request("flood"))] = "flood";
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), waiting.size());
        // The queue is full: batch requests are shed down to their reserved share, then requests of the largest account of the same class.
        for (int index = 0; index < 30; ++index) {
            driver.submit(director_driver::request("other", work_class::normal));
        }
        std::map<std::string, int> shed;
        for (const refusal &shedRequest : driver.director.takeRefusals()) {
            CPPUNIT_ASSERT(shedRequest.why.kind == base::error_kind::overloaded);
            ++shed[waiting[shedRequest.request]];
        }
        CPPUNIT_ASSERT(shed["batch"] >= 5 && shed["flood"] <= 5);
        // A request of the lowest class and of the account with the largest backlog is refused immediately.
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(director_driver::request("a", work_class::batch)));
        CPPUNIT_ASSERT(driver.why.kind == base::error_kind::overloaded);
        CPPUNIT_ASSERT(driver.why.text.find("retry after") != std::string::npos);
    }

    void refusesWhatCannotMeetItsDeadline()
    {
        director_driver driver(1, fixedLimit(1));
        driver.send(director_driver::request());
        request_facts facts = director_driver::request();
        facts.deadline = base::clock::now() + base::milliseconds(2000);
        const request_handle late = driver.submit(facts);
        CPPUNIT_ASSERT(driver.director.nextWakeup() <= facts.deadline);
        driver.wait(2500);
        const std::vector<refusal> refused = driver.director.takeRefusals();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
        CPPUNIT_ASSERT(refused[0].request == late && refused[0].why.kind == base::error_kind::deadlineUnmeetable);
    }

    /// A prediction that is too high must not cause a whole class to be refused forever: without answers, it would never be corrected.
    void admitsLateWorkOnceASecondToCorrectThePrediction()
    {
        director_driver driver(3);
        int sent = 0;
        for (int index = 0; index < 300; ++index) {
            request_facts facts = director_driver::request("a", work_class::normal, 4000);
            facts.deadline = base::clock::now() + base::milliseconds(3000);
            const dispatch tried = driver.send(facts);
            if (tried.request != 0) {
                ++sent;
                driver.answer(tried.request, 20);
            }
            driver.clock.advance(base::milliseconds(100));
        }
        CPPUNIT_ASSERT(sent > 200);
    }

    /// latestDispatch must bound only the first dispatch: a caller that waits for its first byte leaves early, but an interrupted stream may
    /// be continued until the deadline.
    void firstDispatchHasItsOwnBound()
    {
        director_driver driver(2, fixedLimit(1));
        request_facts facts = director_driver::request();
        facts.latestDispatch = base::clock::now() + base::milliseconds(1000);
        const dispatch sent = driver.send(facts);
        CPPUNIT_ASSERT(!sent.endpoint.empty());
        driver.director.firstByte(sent.request);
        driver.wait(5000);
        CPPUNIT_ASSERT(driver.director.allowsRetry(sent.request));
        CPPUNIT_ASSERT_MESSAGE(driver.why.text, driver.director.retry(sent.request, request_outcome::connectionLost, driver.why));

        director_driver full(1, fixedLimit(1));
        full.send(director_driver::request());
        facts.latestDispatch = base::clock::now() + base::milliseconds(1000);
        const request_handle waiting = full.submit(facts);
        full.wait(1500);
        const std::vector<refusal> refused = full.director.takeRefusals();
        CPPUNIT_ASSERT(refused.size() == 1 && refused[0].request == waiting);
    }

    /// Guards against running work that is given up although no other endpoint can take it over, or not in time.
    void retryIsOfferedOnlyWithRoomAndTimeElsewhere()
    {
        director_driver driver(2, fixedLimit(1));
        request_facts facts = director_driver::request();
        facts.deadline = base::clock::now() + base::milliseconds(4000);
        const dispatch first = driver.send(facts);
        const dispatch second = driver.send(director_driver::request());
        CPPUNIT_ASSERT(!first.endpoint.empty() && !second.endpoint.empty() && first.endpoint != second.endpoint);
        CPPUNIT_ASSERT_MESSAGE("the other endpoint has no room", !driver.director.allowsRetry(first.request));
        driver.answer(second.request);
        CPPUNIT_ASSERT_MESSAGE("the other endpoint has room", driver.director.allowsRetry(first.request));
        driver.wait(3900);
        CPPUNIT_ASSERT_MESSAGE("the deadline leaves no time", !driver.director.allowsRetry(first.request));
    }

    void retriesAreBoundedPerServiceAndOverAllNodes()
    {
        director_settings settings;
        settings.retryShare = 0;
        settings.clusterRetryBurst = 8;
        director_driver driver(3, settings);
        driver.director.setNodeCount(4);
        const auto countGrantedRetries = [&](const std::string &service) {
            int granted = 0;
            for (int index = 0; index < 10; ++index) {
                request_facts facts = director_driver::request();
                facts.retryGroup = service;
                const dispatch sent = driver.send(facts);
                if (driver.director.retry(sent.request, request_outcome::timedOut, driver.why)) {
                    ++granted;
                    driver.director.takeDispatches();
                }
            }
            return granted;
        };
        CPPUNIT_ASSERT_EQUAL_MESSAGE("each of four nodes has a quarter of eight retries", 2, countGrantedRetries("desk"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("another service has a budget of its own", 2, countGrantedRetries("chat"));
        CPPUNIT_ASSERT_EQUAL(0, countGrantedRetries("desk"));
    }

    void knownSlotsSetTheLimit()
    {
        director_settings settings;
        settings.slotFactor = 1.5;
        director_driver driver(0, settings);
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id("e0");
        facts.pools = {"m"};
        facts.slots = 4;
        driver.director.setEndpoint(facts);
        int sent = 0;
        for (int index = 0; index < 20; ++index) {
            sent += driver.send(director_driver::request()).endpoint.empty() ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(6, sent);
    }

    void stopsARetryStorm()
    {
        director_driver driver(3);
        int retries = 0;
        constexpr int requests = 1000;
        for (int index = 0; index < requests; ++index) {
            dispatch sent = driver.send(director_driver::request());
            while (!sent.endpoint.empty() && driver.director.retry(sent.request, request_outcome::timedOut, driver.why)) {
                ++retries;
                const std::vector<dispatch> again = driver.director.takeDispatches();
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), again.size());
                CPPUNIT_ASSERT(again[0].endpoint != sent.endpoint);
                sent = again[0];
            }
            driver.wait(250);
        }
        CPPUNIT_ASSERT(retries >= requests / 20 && retries <= requests * 0.1 + director_settings().retryBurst);

        // There are no retries to an overloaded pool, whatever the budget.
        director_driver full(1, fixedLimit(1));
        const dispatch failing = full.send(director_driver::request());
        while (full.submit(director_driver::request()) != 0) { }
        CPPUNIT_ASSERT(!full.director.retry(failing.request, request_outcome::refused, full.why));
        CPPUNIT_ASSERT(full.why.kind == base::error_kind::overloaded);
    }

    void doesNotRetryWhatMayHaveRun()
    {
        director_driver driver(2);
        request_facts order = director_driver::request();
        order.repeatable = false;
        const dispatch lost = driver.send(order);
        CPPUNIT_ASSERT(!driver.director.retry(lost.request, request_outcome::connectionLost, driver.why));
        ++order.fingerprint;
        const dispatch unsent = driver.send(order);
        CPPUNIT_ASSERT(driver.director.retry(unsent.request, request_outcome::notSent, driver.why));
    }

    void sendsNothingToDrainingOrFullEndpoints()
    {
        director_driver driver(2, fixedLimit(3));
        driver.director.setEndpoint({base::endpoint_id("e0"), base::zone_id(), {"m"}, true, 0});
        for (int index = 0; index < 3; ++index) {
            CPPUNIT_ASSERT_EQUAL(std::string("e1"), driver.send(director_driver::request()).endpoint.value());
        }
        CPPUNIT_ASSERT(driver.send(director_driver::request()).endpoint.empty());
        driver.director.removeEndpoint(base::endpoint_id("e1"));
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(director_driver::request()));
        CPPUNIT_ASSERT(driver.why.kind == base::error_kind::noEndpoint);
    }

    void prefersTheCachedPrefixOnlyWithinBounds()
    {
        director_driver driver(4);
        std::map<std::string, int> chosen;
        for (int index = 0; index < 20; ++index) {
            request_facts facts = director_driver::request();
            facts.prefixHash = 42;
            facts.promptTokens = base::token_count(100'000);
            ++chosen[driver.send(facts).endpoint.value()];
        }
        const int largest = std::max_element(chosen.begin(), chosen.end(), [](const auto &a, const auto &b) { return a.second < b.second; })->second;
        // The mean is 5 requests per endpoint. Affinity exceeds it, but stops at twice the mean load.
        CPPUNIT_ASSERT(largest >= 7 && largest <= 11);
    }

    void decidesTheSameForTheSameSeed()
    {
        const auto decisions = [](std::uint64_t seed) {
            director_driver driver(8, {}, seed);
            std::string all;
            for (int index = 0; index < 50; ++index) {
                all += driver.send(director_driver::request()).endpoint.value();
            }
            return all;
        };
        CPPUNIT_ASSERT_EQUAL(decisions(1), decisions(1));
        CPPUNIT_ASSERT(decisions(1) != decisions(2));
    }

    void forgetsEndedRequestsAndRemovedPools()
    {
        director_driver driver(1);
        const dispatch sent = driver.send(director_driver::request());
        driver.director.removeEndpoint(base::endpoint_id("e0"));
        driver.answer(sent.request);
        driver.director.finish(sent.request, request_outcome::answered);
        CPPUNIT_ASSERT(!driver.director.retry(sent.request, request_outcome::notSent, driver.why));
        driver.addEndpoint("e0");
        CPPUNIT_ASSERT(!driver.send(director_driver::request()).endpoint.empty());
    }

private:
    static director_settings fixedLimit(double limit)
    {
        director_settings settings;
        settings.initialLimit = settings.maximumLimit = limit;
        return settings;
    }

    /// Trains the predictor: requests with a low token bound are short, those with a high bound are long.
    static void trainCostPredictor(director_driver &driver)
    {
        for (int index = 0; index < 50; ++index) {
            const bool isLong = index % 10 == 0;
            const dispatch sent = driver.send(director_driver::request("a", work_class::normal, isLong ? 1000 : 10));
            driver.answer(sent.request, isLong ? 1000 : 10);
        }
        driver.wait(500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adaptive_director_test);
