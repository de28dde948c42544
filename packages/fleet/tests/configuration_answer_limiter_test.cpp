#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fleet/configuration_answer_limiter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

using namespace chervilbend;
using namespace chervilbend::fleet;

namespace
{

constexpr double linkMegabits = 10;
constexpr std::size_t recordBytes = 20'000;

} // namespace

/// Guards against a small host whose link is filled by configurations when many nodes lose the store at once.
class configuration_answer_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_answer_limiter_test);
    CPPUNIT_TEST(manyNodesGetOneAnswerAtATime);
    CPPUNIT_TEST(oneNodeDoesNotGetAnswersInARow);
    CPPUNIT_TEST(tooLargeRecordIsNotSent);
    CPPUNIT_TEST(recordWithThousandsOfRoutesIsSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void manyNodesGetOneAnswerAtATime()
    {
        base::manual_time_source time;
        configuration_answer_limiter limiter(linkMegabits);
        constexpr int nodes = 62;
        constexpr base::milliseconds answerTime{40};
        std::set<int> answered;
        for (base::milliseconds elapsed{0}; answered.size() < nodes; elapsed += base::milliseconds(10)) {
            CPPUNIT_ASSERT_MESSAGE("all nodes are answered", elapsed < nodes * answerTime);
            int started = 0;
            for (int node = 0; node < nodes; ++node) {
                if (!answered.contains(node) && limiter.tryStart(base::node_id("n-" + std::to_string(node)), recordBytes)) {
                    answered.insert(node);
                    ++started;
                }
            }
            CPPUNIT_ASSERT_EQUAL(elapsed.count() % answerTime.count() == 0 ? 1 : 0, started);
            time.advance(base::milliseconds(10));
        }
    }

    void oneNodeDoesNotGetAnswersInARow()
    {
        base::manual_time_source time;
        configuration_answer_limiter limiter(linkMegabits);
        CPPUNIT_ASSERT(limiter.tryStart(base::node_id("n-1"), recordBytes));
        time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT(!limiter.tryStart(base::node_id("n-1"), recordBytes));
        CPPUNIT_ASSERT(limiter.tryStart(base::node_id("n-2"), recordBytes));
        time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT(limiter.tryStart(base::node_id("n-1"), recordBytes));
    }

    /// Failure: a node that was cut off from the store never got a large configuration, as every other node refused to send it.
    void recordWithThousandsOfRoutesIsSent()
    {
        constexpr std::size_t bytes = 800'000;
        constexpr base::milliseconds answerTime{1'600};
        base::manual_time_source time;
        configuration_answer_limiter limiter(linkMegabits);
        CPPUNIT_ASSERT(limiter.tryStart(base::node_id("n-1"), bytes));
        time.advance(answerTime - base::milliseconds(1));
        CPPUNIT_ASSERT_MESSAGE("one at a time", !limiter.tryStart(base::node_id("n-2"), bytes));
        time.advance(base::milliseconds(1));
        CPPUNIT_ASSERT(limiter.tryStart(base::node_id("n-2"), bytes));
    }

    void tooLargeRecordIsNotSent()
    {
        const base::manual_time_source time;
        configuration_answer_limiter limiter(linkMegabits);
        CPPUNIT_ASSERT(!limiter.tryStart(base::node_id("n-1"), configuration_answer_limiter::maxBytes + 1));
        CPPUNIT_ASSERT_MESSAGE("the refused one took no time", limiter.tryStart(base::node_id("n-1"), configuration_answer_limiter::maxBytes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_answer_limiter_test);
