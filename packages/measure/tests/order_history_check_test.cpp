#include <chervilbend/measure/simulation/order_history_check.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::measure;

/// Guards against a checker that accepts every history: each test but the last contains one violation that must be found.
class order_history_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_history_check_test);
    CPPUNIT_TEST(findsASecondExecution);
    CPPUNIT_TEST(findsNotRunAfterAnExecution);
    CPPUNIT_TEST(findsAnExecutionByAnEarlierAttemptAfterNotRun);
    CPPUNIT_TEST(findsRanWithoutAnExecution);
    CPPUNIT_TEST(allowsAnExecutionByALaterAttempt);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsASecondExecution()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addRan("k", 1);
        history.addStarted("k", 2);
        history.addRan("k", 2);
        CPPUNIT_ASSERT(checkHistory(history).executedTwice == std::vector<std::string>{"k"});
    }

    void findsNotRunAfterAnExecution()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addRan("k", 1);
        history.addAnswered("k", 1, base::run_state::notRun);
        CPPUNIT_ASSERT(checkHistory(history).falseNotRun == std::vector<std::string>{"k"});
    }

    void findsAnExecutionByAnEarlierAttemptAfterNotRun()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addStarted("k", 2);
        history.addAnswered("k", 2, base::run_state::notRun);
        history.addRan("k", 1);
        CPPUNIT_ASSERT(checkHistory(history).falseNotRun == std::vector<std::string>{"k"});
    }

    void findsRanWithoutAnExecution()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addAnswered("k", 1, base::run_state::ran);
        history.addRan("k", 1);
        CPPUNIT_ASSERT(checkHistory(history).falseRan == std::vector<std::string>{"k"});
    }

    void allowsAnExecutionByALaterAttempt()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addAnswered("k", 1, base::run_state::notRun);
        history.addStarted("k", 2);
        history.addRan("k", 2);
        history.addAnswered("k", 2, base::run_state::ran);
        const order_history_verdict verdict = checkHistory(history);
        CPPUNIT_ASSERT(verdict.executedTwice.empty() && verdict.falseNotRun.empty() && verdict.falseRan.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), verdict.answers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_history_check_test);
