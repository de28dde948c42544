#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace chervilbend;
using namespace chervilbend::measure;

/// Guards against faults of the simulation that would invalidate its figures: wrong speeds, lost work, or runs that differ for the same seed.
class cluster_simulation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cluster_simulation_test);
    CPPUNIT_TEST(batchedStreamsShareThroughput);
    CPPUNIT_TEST(offeredLoadMatchesTheSetting);
    CPPUNIT_TEST(answersEveryJobAndIsReproducible);
    CPPUNIT_TEST(crashLosesRunningJobs);
    CPPUNIT_TEST_SUITE_END();

public:
    void batchedStreamsShareThroughput()
    {
        const engine_settings settings;
        std::vector<engine_event> events;
        engine_model engine(settings);
        for (std::size_t job = 0; job < 40; ++job) {
            engine.submit(job, 0, 100, 0, events);
        }
        CPPUNIT_ASSERT(engine.running() == 32 && engine.queued() == 8);
        double now = 0;
        while (std::isfinite(engine.nextEvent())) {
            now = engine.nextEvent();
            engine.advance(now, events);
        }
        // 100 steps of 40 ms with a full batch, then 100 steps with 8 streams.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100 * 40 + 100 * 20 * (1 + 7.0 / 31), now, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, engine.work(), 1);
    }

    void offeredLoadMatchesTheSetting()
    {
        arrival_settings settings;
        settings.exactLoad = true;
        settings.load = [](double) {
            return 0.85;
        };
        settings.length = heavyTailedLength;
        settings.meanTokens = heavyTailedMean;
        const std::vector<job> jobs = makeArrivals(settings, 3);
        double cost = 0;
        for (const job &each : jobs) {
            cost += each.tokens + each.promptTokens / settings.engine.promptTokensPerStep;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.85, cost / (jobs.back().arrival * settings.engines * settings.engine.fullRate()), 0.02);
    }

    void answersEveryJobAndIsReproducible()
    {
        for (const director_factory &factory : {adaptive(), randomChoice(), roundRobin(), leastOutstanding(), fifo(32)}) {
            const auto first = runOnce(factory, 0);
            const auto second = runOnce(factory, 0);
            for (std::size_t index = 0; index < first->jobs().size(); ++index) {
                CPPUNIT_ASSERT(first->jobs()[index].ended > first->jobs()[index].started);
                CPPUNIT_ASSERT_EQUAL(first->jobs()[index].ended, second->jobs()[index].ended);
            }
        }
    }

    void crashLosesRunningJobs()
    {
        const auto run = runOnce(leastOutstanding(), 3);
        CPPUNIT_ASSERT(run->crashes() >= 2 && run->crashes() <= 3);
        int lost = 0;
        for (const job &each : run->jobs()) {
            lost += each.ended < 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(lost > 3);
    }

private:
    static std::unique_ptr<cluster_simulation> runOnce(const director_factory &factory, int poison)
    {
        arrival_settings arrivals;
        arrivals.engines = 4;
        arrivals.durationMs = 20'000;
        arrivals.load = [](double) {
            return 0.3;
        };
        arrivals.length = heavyTailedLength;
        arrivals.meanTokens = heavyTailedMean;
        cluster_settings cluster;
        cluster.engines = 4;
        cluster.durationMs = 140'000;
        cluster.slowFromMs = 5000;
        cluster.poisonSends = poison;
        return runVariant(cluster, factory, makeArrivals(arrivals, 5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_simulation_test);
