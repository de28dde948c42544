#include "route_api_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;

/// Guards against what an endpoint says of itself in an answer being lost on its way to the traffic director, or being taken from another endpoint's answer.
class endpoint_notice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_notice_test);
    CPPUNIT_TEST(rateLimitOfAnAnswerIsReported);
    CPPUNIT_TEST(rateLimitOfARefusalIsReported);
    CPPUNIT_TEST(leavingEndpointIsReported);
    CPPUNIT_TEST(brittleEndpointIsReported);
    CPPUNIT_TEST(answersOfOtherProcessesSayNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void rateLimitOfAnAnswerIsReported()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedResponse("fine", "own1", "200 OK", "Server-Limit: 2.5\r\n")));
        fixture.ask("/status/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.director.notices.size());
        CPPUNIT_ASSERT(fixture.director.notices[0].requestRate == 2.5);
    }

    void rateLimitOfARefusalIsReported()
    {
        route_api_fixture fixture;
        fixture.configure();
        const std::string refusal =
            "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Not-Executed: 1\r\nServer-Limit: 1\r\nContent-Length: 0\r\n\r\n";
        fixture.addEndpoint(answerAndClose(refusal));
        fixture.director.retriesLeft = 0;
        fixture.ask("/order/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.director.notices.size());
        CPPUNIT_ASSERT(fixture.director.notices[0].requestRate == 1.0);
    }

    void leavingEndpointIsReported()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedResponse("fine", "own1", "200 OK", "Server-Leaving: 1\r\n")));
        fixture.ask("/status/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.director.notices.size());
        CPPUNIT_ASSERT(fixture.director.notices[0].isLeaving);
    }

    void brittleEndpointIsReported()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint(answerAndClose(sealedResponse("fine", "own1", "200 OK", "Server-Brittle: 4\r\n")));
        fixture.ask("/status/x");
        fixture.addEndpoint(answerAndClose(
            "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Not-Executed: 1\r\nServer-Brittle: 4\r\nContent-Length: 0\r\n\r\n"));
        fixture.director.nextEndpoint = 1;
        fixture.ask("/order/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.director.notices.size());
        CPPUNIT_ASSERT(fixture.director.notices[0].toleratedRefusals == 4.0 && !fixture.director.notices[0].isRefusal);
        CPPUNIT_ASSERT(fixture.director.notices[1].toleratedRefusals == 4.0 && fixture.director.notices[1].isRefusal);
    }

    /// Neither an answer of the process that now has the address, nor bytes without a seal, nor the answer to another request tell that a limit has ended.
    void answersOfOtherProcessesSayNothing()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 1;
        fixture.addEndpoint(answerAndClose("HTTP/1.1 421 Misdirected\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 0\r\n\r\n"));
        fixture.addEndpoint(answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nspam"));
        fixture.ask("/order/x");
        CPPUNIT_ASSERT(fixture.director.notices.empty());
        fixture.addEndpoint(answerAndClose(sealedResponse("late", "other") + sealedResponse("mine", "own1", "200 OK", "Server-Limit: 3\r\n")));
        fixture.director.nextEndpoint = 2;
        fixture.ask("/order/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.director.notices.size());
        CPPUNIT_ASSERT(fixture.director.notices[0].requestRate == 3.0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_test);
