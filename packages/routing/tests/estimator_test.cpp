#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/hedge_policy.hpp>
#include <chervilbend/routing/internal/concurrency_limit.hpp>
#include <chervilbend/routing/internal/cost_predictor.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Tests the estimators of the director: costs, limits and percentiles must neither diverge nor fail to follow changes.
class estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(estimator_test);
    CPPUNIT_TEST(predictsByClassAndBound);
    CPPUNIT_TEST(correctsAStreamThatPassesItsPrediction);
    CPPUNIT_TEST(limitSettlesBeforeRequestsQueue);
    CPPUNIT_TEST(limitDoesNotGrowUnused);
    CPPUNIT_TEST(hedgesFewSlowReadsOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void predictsByClassAndBound()
    {
        cost_predictor predictor;
        const base::token_count smallBound(64);
        const base::token_count largeBound(4096);
        CPPUNIT_ASSERT_EQUAL(64.0, predictor.outputTokens(base::work_class::normal, smallBound));
        for (int index = 0; index < 50; ++index) {
            predictor.addSample(base::work_class::normal, smallBound, 20);
            predictor.addSample(base::work_class::normal, largeBound, 900);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, predictor.outputTokens(base::work_class::normal, smallBound), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(900, predictor.outputTokens(base::work_class::normal, largeBound), 10);
        CPPUNIT_ASSERT(predictor.outputTokens(base::work_class::batch, largeBound) < 300);
    }

    void correctsAStreamThatPassesItsPrediction()
    {
        const base::token_count bound(500);
        CPPUNIT_ASSERT_EQUAL(60.0, cost_predictor::remainingTokens(100, 40, bound));
        CPPUNIT_ASSERT_EQUAL(200.0, cost_predictor::remainingTokens(100, 200, bound));
        CPPUNIT_ASSERT_EQUAL(10.0, cost_predictor::remainingTokens(100, 490, bound));
    }

    void limitSettlesBeforeRequestsQueue()
    {
        base::manual_time_source time;
        const director_settings settings;
        concurrency_limit limit(settings);
        double maximum = 0;
        for (int window = 0; window < 400; ++window) {
            // An endpoint with 24 slots: further requests wait inside it. A full batch is twice as slow as an empty one.
            const double concurrent = limit.limit();
            const double ms = concurrent <= 24 ? 20 + concurrent * 20 / 24 : 40 + (concurrent - 24) * 100;
            for (int index = 0; index < 8; ++index) {
                limit.addSample(window == 0 ? 20 : ms, 1);
            }
            limit.markSaturated();
            time.advance(settings.window);
            limit.advance(base::clock::now());
            maximum = window > 50 ? std::max(maximum, limit.limit()) : 0;
        }
        CPPUNIT_ASSERT(limit.limit() > 20 && maximum < 26);
        limit.recordRefusal();
        const double before = limit.limit();
        time.advance(settings.window);
        limit.advance(base::clock::now());
        CPPUNIT_ASSERT(limit.limit() < before);
    }

    /// If the limit grew while it is not reached, the next burst would queue inside the endpoint.
    void limitDoesNotGrowUnused()
    {
        base::manual_time_source time;
        const director_settings settings;
        concurrency_limit limit(settings);
        for (int window = 0; window < 100; ++window) {
            for (int index = 0; index < 8; ++index) {
                limit.addSample(20, 1);
            }
            time.advance(settings.window);
            limit.advance(base::clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(settings.initialLimit, limit.limit());
    }

    void hedgesFewSlowReadsOnly()
    {
        hedge_policy policy;
        request_facts read;
        read.pool.assign(1, 'r');
        CPPUNIT_ASSERT(!policy.delayFor(read));
        int hedges = 0;
        for (int index = 0; index < 10'000; ++index) {
            policy.recordSent();
            policy.recordLatency(read.pool, base::milliseconds(index % 100 + 1));
            hedges += policy.tryTakeHedge() ? 1 : 0;
        }
        CPPUNIT_ASSERT(hedges >= 190 && hedges <= 205);
        const auto delay = policy.delayFor(read);
        CPPUNIT_ASSERT(delay && *delay > base::milliseconds(80) && *delay < base::milliseconds(110));
        request_facts order = read;
        order.repeatable = false;
        CPPUNIT_ASSERT(!policy.delayFor(order));
        request_facts generated = read;
        generated.maxTokens = base::token_count(10);
        CPPUNIT_ASSERT(!policy.delayFor(generated));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(estimator_test);
