#include "log_file.hpp"
#include "route_api_fixture.hpp"

#include <chervilbend/base/log.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <optional>
#include <string>

using namespace chervilbend;
using namespace chervilbend::node::test;

/// Guards against refusals that tell all callers the same time, whatever they wait for.
class retry_after_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_after_answer_test);
    CPPUNIT_TEST(refusedCallerIsToldTheEstimate);
    CPPUNIT_TEST(callerWithoutTimeLeftIsNotInvitedAgain);
    CPPUNIT_TEST(callerOfAMissingModelIsToldTheEstimate);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an estimate that is lost, or rounded, between the director and the caller.
    void refusedCallerIsToldTheEstimate()
    {
        const log_file lines;
        const auto appender = std::make_shared<log4cxx::FileAppender>(std::make_shared<log4cxx::PatternLayout>("%m%n"), lines.path(), true);
        const log4cxx::LoggerPtr logger = base::partLogger("route");
        logger->addAppender(appender);
        route_api_fixture fixture;
        fixture.configure();
        fixture.requestForwarder.setRetryEstimation(true);
        fixture.director.retryAfterRefusal = base::milliseconds(1'234);
        const std::string answer = fixture.ask("/chat/x");
        logger->removeAppender(appender);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "Retry-After: 1.234\r\n"));
        CPPUNIT_ASSERT(lines.contains("\"retryAfterMs\":1234,"));
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "chervilbend_retry_after_ms_sum 1234\n"));
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "chervilbend_retry_after_ms_count 1\n"));
    }

    /// Guards against inviting a caller whose deadline passes before another attempt can end.
    void callerWithoutTimeLeftIsNotInvitedAgain()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.requestForwarder.setRetryEstimation(true);
        fixture.director.retryAfterRefusal = std::nullopt;
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && !contains(answer, "Retry-After"));
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "chervilbend_retry_after_ms_count 0\n"));
    }

    /// Guards against the same time for each caller while a model is being loaded.
    void callerOfAMissingModelIsToldTheEstimate()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.requestForwarder.setRetryEstimation(true);
        fixture.itemProvider.isAvailable = false;
        fixture.director.retryAfterRefusal = base::milliseconds(2'500);
        const std::string answer = fixture.ask("/chat/x", "Chervilbend-Model: tall/a3\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "Retry-After: 2.500\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_after_answer_test);
