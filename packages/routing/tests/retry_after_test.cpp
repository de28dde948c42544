#include "director_driver.hpp"

#include <chervilbend/routing/retry_estimator.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;
using base::milliseconds;

namespace
{

constexpr milliseconds farDeadline{600'000};
/// Length of a step of the model of one endpoint.
constexpr milliseconds stepLength{10};
constexpr milliseconds serviceTime{200};
constexpr int callerCount = 200;

bool isWithinJitter(milliseconds value, milliseconds estimate)
{
    const double ratio = static_cast<double>(value.count()) / static_cast<double>(estimate.count());
    return ratio >= 0.745 && ratio <= 1.255;
}

/// One endpoint with 4 slots, which takes 5 requests at once and serves each in 200 ms: 25 requests per second.
struct busy_endpoint {
    struct running_request {
        request_handle id = 0;
        base::time_point endsAt;
    };

    /// Serves requests one after the other until the director knows their duration, and then fills the queue.
    busy_endpoint()
    {
        endpoint_facts facts;
        facts.endpoint = base::endpoint_id("e0");
        facts.pools = {"m"};
        facts.slots = 4;
        driver.director.setEndpoint(facts);
        for (int i = 0; i < 200; ++i) {
            driver.submit(director_driver::request());
            run(serviceTime + stepLength);
        }
        while (submit()) { }
    }

    bool submit()
    {
        const bool isQueued = driver.submit(director_driver::request()) != 0;
        takeDispatches();
        return isQueued;
    }

    void takeDispatches()
    {
        for (const dispatch &sent : driver.director.takeDispatches()) {
            running.push_back({sent.request, base::clock::now() + serviceTime});
        }
    }

    void run(milliseconds duration)
    {
        const base::time_point end = base::clock::now() + duration;
        while (base::clock::now() < end) {
            driver.clock.advance(stepLength);
            while (!running.empty() && running.front().endsAt <= base::clock::now()) {
                driver.director.firstByte(running.front().id);
                driver.director.progress(running.front().id, base::token_count(10));
                driver.director.finish(running.front().id, request_outcome::answered);
                running.pop_front();
            }
            takeDispatches();
        }
    }

    /// Runs until the queue is empty, and returns how long that took.
    milliseconds drain()
    {
        const base::time_point start = base::clock::now();
        while (!running.empty()) {
            run(stepLength);
        }
        return base::clock::now() - start - serviceTime;
    }

    /// Lets callers that were refused now return after the given times. Returns the number of those that are refused again.
    int refusedAgain(std::vector<milliseconds> returnTimes)
    {
        std::sort(returnTimes.begin(), returnTimes.end());
        const base::time_point start = base::clock::now();
        int refused = 0;
        for (const milliseconds at : returnTimes) {
            run(start + at - base::clock::now());
            refused += submit() ? 0 : 1;
        }
        return refused;
    }

    director_driver driver{0};
    std::deque<running_request> running;
};

void pauseEndpoint(director_driver &driver, milliseconds pause)
{
    const dispatch sent = driver.send(director_driver::request());
    CPPUNIT_ASSERT(!sent.endpoint.empty());
    endpoint_notice notice;
    notice.pause = pause;
    driver.director.noteAnswer(sent.request, notice);
    driver.director.finish(sent.request, request_outcome::refused);
}

refusal_situation openSituation(milliseconds timeLeft)
{
    refusal_situation situation;
    situation.endpoints.emplace_back();
    situation.timeLeft = timeLeft;
    return situation;
}

} // namespace

/// Guards against callers that return before there is capacity, or all at once, and so lose the one retry that they have.
class retry_after_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_after_test);
    CPPUNIT_TEST(fullQueueIsEstimatedByItsDrainTime);
    CPPUNIT_TEST(callersOfAFullQueueAreServedOnReturn);
    CPPUNIT_TEST(callersReturnAfterThePause);
    CPPUNIT_TEST(firstEndpointToBeReadyDecides);
    CPPUNIT_TEST(rateLimitedEndpointGivesTheGrantTime);
    CPPUNIT_TEST(poolThatLosesItsOnlyEndpointWaitsForALoad);
    CPPUNIT_TEST(crashedEndpointIsTriedAgainAfterASecond);
    CPPUNIT_TEST(callersRefusedTogetherReturnSpread);
    CPPUNIT_TEST(sameSeedGivesSameValues);
    CPPUNIT_TEST(nearDeadlineBoundsTheValue);
    CPPUNIT_TEST(valuesAtTheBoundStaySpread);
    CPPUNIT_TEST(requestWithoutTimeForAnotherAttemptGetsNone);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: one endpoint that serves 25 requests per second, and more requests at once than its queue takes.
    void fullQueueIsEstimatedByItsDrainTime()
    {
        busy_endpoint endpoint;
        CPPUNIT_ASSERT_EQUAL(base::error_kind::overloaded, endpoint.driver.why.kind);
        const std::optional<milliseconds> value = endpoint.driver.director.retryAfter(director_driver::request());
        const milliseconds drained = endpoint.drain();
        CPPUNIT_ASSERT(value);
        const double ratio = static_cast<double>(value->count()) / static_cast<double>(drained.count());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(value->count()) + " ms for " + std::to_string(drained.count()) + " ms", ratio > 0.6 && ratio < 1.5);
    }

    /// Load: as above, and 100 callers that are refused at that moment and return once. More would be more than the endpoint serves in half of the estimate.
    void callersOfAFullQueueAreServedOnReturn()
    {
        constexpr int callers = 100;
        busy_endpoint estimated;
        std::vector<milliseconds> times;
        times.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            times.push_back(estimated.driver.director.retryAfter(director_driver::request()).value());
        }
        const int refused = estimated.refusedAgain(times);
        busy_endpoint fixed;
        const int refusedWithFixedTime = fixed.refusedAgain(std::vector(callers, milliseconds(200)));
        const std::string figures = std::to_string(refused) + " refused again, " + std::to_string(refusedWithFixedTime) + " after 200 ms";
        CPPUNIT_ASSERT_MESSAGE(figures, refused * 4 < refusedWithFixedTime);
    }

    /// Load: the only endpoint refuses a request and asks for a pause of 2 s; 50 callers are refused and return once.
    void callersReturnAfterThePause()
    {
        for (int i = 0; i < 50; ++i) {
            director_driver driver(1, {}, static_cast<std::uint64_t>(i));
            pauseEndpoint(driver, milliseconds(2'000));
            driver.submit(director_driver::request());
            CPPUNIT_ASSERT(driver.director.takeDispatches().empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.director.takeRefusals().size());
            const std::optional<milliseconds> value = driver.director.retryAfter(director_driver::request());
            CPPUNIT_ASSERT(value && isWithinJitter(*value, milliseconds(2'667)));
            driver.clock.advance(*value);
            CPPUNIT_ASSERT_EQUAL(std::string("e0"), driver.send(director_driver::request()).endpoint.value());
        }
    }

    void firstEndpointToBeReadyDecides()
    {
        refusal_situation situation;
        situation.endpoints = {{.pause = milliseconds(6'000)}, {.pause = milliseconds(300), .nextTry = milliseconds(900)}};
        CPPUNIT_ASSERT_EQUAL(std::int64_t(900), retry_estimator::estimate(situation).count());
        situation.queuedWork = milliseconds(1'100);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2'000), retry_estimator::estimate(situation).count());
    }

    /// Load: an endpoint that allows 20 requests per second from 60 nodes, and a node without a grant.
    void rateLimitedEndpointGivesTheGrantTime()
    {
        director_driver driver(1);
        driver.director.setNodeCount(60);
        const dispatch sent = driver.send(director_driver::request());
        endpoint_notice notice;
        notice.requestRate = 20;
        driver.director.noteAnswer(sent.request, notice);
        driver.answer(sent.request);
        const std::optional<milliseconds> value = driver.director.retryAfter(director_driver::request());
        CPPUNIT_ASSERT(value && isWithinJitter(*value, milliseconds(4'000)));
    }

    /// Load: the only endpoint of a pool leaves the registry, and the next request arrives.
    void poolThatLosesItsOnlyEndpointWaitsForALoad()
    {
        director_driver driver(1);
        driver.director.removeEndpoint(base::endpoint_id("e0"));
        CPPUNIT_ASSERT_EQUAL(request_handle(0), driver.submit(director_driver::request()));
        const std::optional<milliseconds> value = driver.director.retryAfter(director_driver::request());
        CPPUNIT_ASSERT(value && isWithinJitter(*value, retry_estimator::loadEstimate));
    }

    /// Load: the only endpoint of a pool refuses a connection and accepts them again within a second.
    void crashedEndpointIsTriedAgainAfterASecond()
    {
        director_driver driver(1);
        const dispatch sent = driver.send(director_driver::request());
        driver.director.finish(sent.request, request_outcome::notSent);
        const std::optional<milliseconds> value = driver.director.retryAfter(director_driver::request());
        CPPUNIT_ASSERT(value && isWithinJitter(*value, milliseconds(1'000)));
        driver.clock.advance(milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), driver.send(director_driver::request()).endpoint.value());
    }

    /// Load: 200 callers that are refused at the same instant, 4 s of queued work.
    void callersRefusedTogetherReturnSpread()
    {
        retry_estimator estimator(7);
        refusal_situation situation = openSituation(farDeadline);
        situation.queuedWork = milliseconds(4'000);
        checkSpread(estimator, situation, milliseconds(4'000));
    }

    /// Guards against simulations that can't be repeated, and against nodes that all choose the same times.
    void sameSeedGivesSameValues()
    {
        retry_estimator first(7);
        retry_estimator same(7);
        retry_estimator other(8);
        const refusal_situation situation = openSituation(farDeadline);
        int differences = 0;
        for (int i = 0; i < 50; ++i) {
            const std::optional<milliseconds> value = first.retryAfter(situation);
            CPPUNIT_ASSERT(value == same.retryAfter(situation));
            differences += value == other.retryAfter(situation) ? 0 : 1;
        }
        CPPUNIT_ASSERT(differences > 40);
    }

    /// Load: a pool without an endpoint, and deadlines that leave a third of less than the load takes.
    void nearDeadlineBoundsTheValue()
    {
        retry_estimator estimator(7);
        for (int timeLeft = 0; timeLeft < 9'000; timeLeft += 7) {
            refusal_situation situation;
            situation.timeLeft = milliseconds(timeLeft);
            const std::optional<milliseconds> value = estimator.retryAfter(situation);
            CPPUNIT_ASSERT_EQUAL(timeLeft >= 300, value.has_value());
            CPPUNIT_ASSERT(!value || (*value >= milliseconds(100) && *value * 3 <= milliseconds(timeLeft)));
        }
    }

    /// Load: 200 callers with the same deadline, in 3 s, that are refused at the same instant. Guards against values that are all cut to one third.
    void valuesAtTheBoundStaySpread()
    {
        retry_estimator estimator(7);
        refusal_situation situation;
        situation.timeLeft = milliseconds(3'000);
        checkSpread(estimator, situation, milliseconds(800));
    }

    /// Load: requests of about 2 s each, and one that arrives 2.1 s before its deadline. Guards against inviting a caller to a second refusal.
    void requestWithoutTimeForAnotherAttemptGetsNone()
    {
        director_driver driver(1);
        for (int i = 0; i < 50; ++i) {
            driver.answer(driver.send(director_driver::request("a", base::work_class::normal, 100)).request, 100, 20);
        }
        driver.wait(1'000);
        request_facts facts = director_driver::request("a", base::work_class::normal, 100);
        facts.deadline = base::clock::now() + milliseconds(1'000);
        CPPUNIT_ASSERT(!driver.director.retryAfter(facts));
        facts.deadline = base::clock::now() + milliseconds(20'000);
        CPPUNIT_ASSERT(driver.director.retryAfter(facts));
    }

private:
    /// Checks that the times of the callers are spread evenly over half of the estimate.
    static void checkSpread(retry_estimator &estimator, const refusal_situation &situation, milliseconds estimate)
    {
        constexpr std::size_t parts = 10;
        std::array<int, parts> counts{};
        for (int i = 0; i < callerCount; ++i) {
            const double ratio = static_cast<double>(estimator.retryAfter(situation).value().count()) / static_cast<double>(estimate.count());
            CPPUNIT_ASSERT(ratio >= 0.745 && ratio <= 1.25);
            ++counts[std::min(parts - 1, static_cast<std::size_t>(std::max(0.0, ratio - 0.75) * 2 * parts))];
        }
        for (const int count : counts) {
            // 20 are expected; a binomial count is within 4 standard deviations of that.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count), count >= 3 && count <= 37);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_after_test);
