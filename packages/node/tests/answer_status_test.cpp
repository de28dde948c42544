#include "../../net/tests/answer_statuses.hpp"
#include "route_api_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;
using net::test::describe;
using net::test::statusesOutsideTheProtocol;

namespace
{

std::string streamWithStatus(const std::string &status)
{
    return "HTTP/1.1 " + status
        + "\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        + numberedEvent(1) + lastChunk;
}

std::string startOf(const std::string &answer)
{
    return answer.substr(0, answer.find("\r\n"));
}

std::vector<std::string> refusedStatuses()
{
    std::vector<std::string> all = statusesOutsideTheProtocol;
    all.insert(all.end(), net::test::malformedStatuses.begin(), net::test::malformedStatuses.end());
    return all;
}

} // namespace

/// Guards against callers that get a status that HTTP doesn't have, or not the one that the endpoint sent.
class answer_status_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_status_test);
    CPPUNIT_TEST(statusOutsideTheProtocolDoesNotReachTheCaller);
    CPPUNIT_TEST(workThatMayBeRepeatedGoesToAnotherEndpoint);
    CPPUNIT_TEST(streamIsNotResumedWithAStatusOutsideTheProtocol);
    CPPUNIT_TEST(statusOutsideTheProtocolAfterASkippedAnswerIsInvalid);
    CPPUNIT_TEST(unnamedStatusArrivesUnchanged);
    CPPUNIT_TEST(ownReasonOfANamedStatusArrives);
    CPPUNIT_TEST(unnamedStatusWithoutReasonArrivesWithoutOne);
    CPPUNIT_TEST(unnamedSuccessThatClaimsNotToHaveRunIsInvalid);
    CPPUNIT_TEST(callersOfTheNativeApiGetOnlyStatusesOfTheProtocol);
    CPPUNIT_TEST(ordersGetOnlyStatusesOfTheProtocol);
    CPPUNIT_TEST(recordedStatusOutsideTheProtocolIsNotReplayed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The request may have run, so that no other endpoint may get it, and the answer that follows is not believed.
    void statusOutsideTheProtocolDoesNotReachTheCaller()
    {
        for (const std::string &status : refusedStatuses()) {
            for (const std::string &sent : {sealedResponse("", "own1", status + " X") + sealedResponse("next"),
                                            sealedResponse("sent", "own1", status + " X"),
                                            streamWithStatus(status + " X")}) {
                for (const std::string &path : {std::string("/order/x"), std::string("/report/x")}) {
                    route_api_fixture fixture;
                    fixture.configure();
                    fixture.addEndpoint(answerAndClose(sent));
                    fixture.addEndpoint(answerAndClose(sealedResponse("other")));
                    const std::string answer = fixture.ask(path);
                    CPPUNIT_ASSERT_MESSAGE(describe(status, answer), answer.starts_with("HTTP/1.1 502 "));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 0, fixture.endpoints[1]->connections);
                }
            }
        }
    }

    void workThatMayBeRepeatedGoesToAnotherEndpoint()
    {
        for (const std::string &status : refusedStatuses()) {
            route_api_fixture fixture;
            fixture.configure();
            fixture.addEndpoint(answerAndClose(sealedResponse("", "own1", status + " X") + sealedResponse("next")));
            fixture.addEndpoint(answerAndClose(sealedResponse("other")));
            const std::string answer = fixture.ask("/status/x");
            CPPUNIT_ASSERT_MESSAGE(describe(status, answer), answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("other"));
        }
    }

    void streamIsNotResumedWithAStatusOutsideTheProtocol()
    {
        for (const std::string &status : refusedStatuses()) {
            route_api_fixture fixture;
            fixture.configure();
            fixture.director.retriesLeft = 1;
            fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(0)));
            fixture.addEndpoint(answerAndClose(streamWithStatus(status + " X")));
            const std::string answer = fixture.ask("/chat/x");
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word0") && !contains(answer, "word1") && !answer.ends_with(lastChunk));
        }
    }

    void statusOutsideTheProtocolAfterASkippedAnswerIsInvalid()
    {
        for (const std::string &status : statusesOutsideTheProtocol) {
            route_api_fixture fixture;
            fixture.configure();
            fixture.director.retriesLeft = 0;
            fixture.addEndpoint(answerAndClose(sealedResponse("earlier", "other") + sealedResponse("", "own1", status + " X") + sealedResponse("next")));
            const std::string answer = fixture.ask("/order/x");
            CPPUNIT_ASSERT_MESSAGE(describe(status, answer), answer.starts_with("HTTP/1.1 502 "));
        }
    }

    void unnamedStatusArrivesUnchanged()
    {
        for (const std::string &status : {std::string("250 Queued"), std::string("299 Odd"), std::string("520 Origin Failed"), std::string("599 Last")}) {
            for (const std::string &path : {std::string("/order/x"), std::string("/status/x"), std::string("/report/x")}) {
                route_api_fixture fixture;
                fixture.configure();
                fixture.addEndpoint(answerAndClose(sealedResponse("sent", "own1", status)));
                const std::string answer = fixture.ask(path);
                CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, startOf(answer));
                CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\nsent"));
            }
            route_api_fixture fixture;
            fixture.configure();
            fixture.addEndpoint(answerAndClose(streamWithStatus(status)));
            const std::string answer = fixture.ask("/report/x");
            CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, startOf(answer));
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && answer.ends_with(lastChunk));
        }
    }

    void ownReasonOfANamedStatusArrives()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedResponse("sent", "own1", "404 No Such Desk")));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 404 No Such Desk"), startOf(fixture.ask("/order/x")));
    }

    /// The library writes a text of its own in place of an empty reason.
    void unnamedStatusWithoutReasonArrivesWithoutOne()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedResponse("sent", "own1", "520 ")));
        const std::string start = startOf(fixture.ask("/order/x"));
        CPPUNIT_ASSERT_MESSAGE(start, start.starts_with("HTTP/1.1 520 ") && start.find_first_not_of(' ', 12) == std::string::npos);
    }

    void unnamedSuccessThatClaimsNotToHaveRunIsInvalid()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint(answerAndClose(sealedResponse("sent", "own1", "250 Queued", "Chervilbend-Not-Executed: 1\r\n")));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 "));
    }

    void callersOfTheNativeApiGetOnlyStatusesOfTheProtocol()
    {
        for (const std::string &status : refusedStatuses()) {
            caller_api_fixture fixture;
            fixture.addEndpoint("tall@3", answerAndClose(net::test::emptyAnswer(status) + completeResponse("{\"id\":7}")));
            const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
            CPPUNIT_ASSERT_MESSAGE(describe(status, answer), answer.starts_with("HTTP/1.1 502 ") && contains(answer, "\"run\":\"unknown\""));
        }
        for (const std::string &status : {std::string("250 Queued"), std::string("520 Origin Failed")}) {
            caller_api_fixture fixture;
            fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{\"id\":7}", status)));
            const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
            CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, startOf(answer));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("{\"id\":7}"));
        }
    }

    void ordersGetOnlyStatusesOfTheProtocol()
    {
        for (const std::string &status : refusedStatuses()) {
            caller_api_fixture fixture;
            fixture.addEndpoint("service/shop", answerAndClose(net::test::emptyAnswer(status) + completeResponse("{\"burnt\":true}")));
            const std::string answer = fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_MESSAGE(describe(status, answer), answer.starts_with("HTTP/1.1 502 ") && contains(answer, "\"run\":\"unknown\""));
        }
        for (const std::string &status : {std::string("250 Queued"), std::string("520 Origin Failed")}) {
            caller_api_fixture fixture;
            fixture.addEndpoint("service/shop", answerAndClose(completeResponse("{\"burnt\":true}", status)));
            const std::string answer = fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, startOf(answer));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("{\"burnt\":true}"));
        }
    }

    /// Earlier builds have recorded such answers.
    void recordedStatusOutsideTheProtocolIsNotReplayed()
    {
        for (const int status : {-1, 99, 199, 600, 999}) {
            caller_api_fixture fixture;
            fixture.gateway.recorded.emplace();
            fixture.gateway.recorded->state = base::run_state::ran;
            fixture.gateway.recorded->httpStatus = status;
            const std::string answer = fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 ") && contains(answer, "\"run\":\"unknown\""));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_status_test);
