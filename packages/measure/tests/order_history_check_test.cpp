#include <chervilbend/measure/simulation/order_history_check.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::measure;

/// Guards against a checker that calls every history right: each test plants one fault.
class order_history_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_history_check_test);
    CPPUNIT_TEST(findsADoubledRun);
    CPPUNIT_TEST(findsNotRunAfterARun);
    CPPUNIT_TEST(findsARunAfterNotRunByAnEarlierAttempt);
    CPPUNIT_TEST(findsRanWithoutARun);
    CPPUNIT_TEST(allowsARunByALaterAttempt);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsADoubledRun()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addRan("k", 1);
        history.addStarted("k", 2);
        history.addRan("k", 2);
        CPPUNIT_ASSERT(checkHistory(history).doubled == std::vector<std::string>{"k"});
    }

    void findsNotRunAfterARun()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addRan("k", 1);
        history.addAnswered("k", 1, base::run_state::notRun);
        CPPUNIT_ASSERT(checkHistory(history).falseNotRun == std::vector<std::string>{"k"});
    }

    void findsARunAfterNotRunByAnEarlierAttempt()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addStarted("k", 2);
        history.addAnswered("k", 2, base::run_state::notRun);
        history.addRan("k", 1);
        CPPUNIT_ASSERT(checkHistory(history).falseNotRun == std::vector<std::string>{"k"});
    }

    void findsRanWithoutARun()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addAnswered("k", 1, base::run_state::ran);
        history.addRan("k", 1);
        CPPUNIT_ASSERT(checkHistory(history).falseRan == std::vector<std::string>{"k"});
    }

    void allowsARunByALaterAttempt()
    {
        order_history history;
        history.addStarted("k", 1);
        history.addAnswered("k", 1, base::run_state::notRun);
        history.addStarted("k", 2);
        history.addRan("k", 2);
        history.addAnswered("k", 2, base::run_state::ran);
        const order_history_verdict verdict = checkHistory(history);
        CPPUNIT_ASSERT(verdict.doubled.empty() && verdict.falseNotRun.empty() && verdict.falseRan.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), verdict.answers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_history_check_test);
