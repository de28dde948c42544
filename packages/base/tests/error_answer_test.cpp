#include <chervilbend/base/error_answer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <sstream>
#include <string>

using namespace chervilbend::base;

/// Guards against an error kind that is reported to callers with a wrong status or a wrong statement about whether the work ran.
class error_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_answer_test);
    CPPUNIT_TEST(namesAreUnique);
    CPPUNIT_TEST(statusesAreErrors);
    CPPUNIT_TEST(uncertainOutcomesAreReportedAsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void namesAreUnique()
    {
        std::set<std::string_view> names;
        for (const error_answer &answer : errorAnswers()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(answer.name), names.insert(answer.name).second);
        }
    }

    void statusesAreErrors()
    {
        for (const error_answer &answer : errorAnswers()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(answer.name), answer.httpStatus >= 400 && answer.httpStatus < 600);
        }
    }

    void uncertainOutcomesAreReportedAsUnknown()
    {
        for (const error_kind kind : {error_kind::endpointFailed, error_kind::endpointInvalidAnswer, error_kind::outcomeUnknown, error_kind::logUnavailable}) {
            CPPUNIT_ASSERT(answerFor(kind).state == run_state::unknown);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_answer_test);
