#include "route_api_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

using namespace chervilbend;
using namespace chervilbend::node::test;
namespace asio = boost::asio;

/// Guards against answers of faulty endpoints that make a caller believe that its request did not run, or that it has a complete answer.
class faulty_endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(faulty_endpoint_test);
    CPPUNIT_TEST(repeatedRefusalOfTheSameAttemptIsNotBelieved);
    CPPUNIT_TEST(copyOfARefusalIsNotBelievedWhenTheAttemptComesAgain);
    CPPUNIT_TEST(unattributedRefusalOnAUsedConnectionIsNotBelieved);
    CPPUNIT_TEST(unnamedRefusalOnANewConnectionIsNotBelieved);
    CPPUNIT_TEST(namedRefusalOnANewConnectionIsBelieved);
    CPPUNIT_TEST(successThatClaimsNotToHaveRunIsInvalid);
    CPPUNIT_TEST(unnamedAnswerDoesNotReachTheCaller);
    CPPUNIT_TEST(repeatedRefusalOfAnotherRequestIsSkipped);
    CPPUNIT_TEST(errorIsNotAppendedToAStream);
    CPPUNIT_TEST(failedResumptionDoesNotEndTheStream);
    CPPUNIT_TEST(answerThatEndsInItsHeadIsNoAnswer);
    CPPUNIT_TEST(endlessAnswerToAnotherRequestIsGivenUp);
    CPPUNIT_TEST(streamWithAnIdThatIsNoNumberIsNotResumed);
    CPPUNIT_TEST_SUITE_END();

    static raw_server::script brokenOffStream(const std::string &firstEvents)
    {
        return [firstEvents](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + firstEvents);
        };
    }

public:
    /// The endpoint refuses an order, and writes the refusal once more when the order is sent again on the same connection, although it runs it.
    void repeatedRefusalOfTheSameAttemptIsNotBelieved()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 1;
        int ran = 0;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            const bool isFirst = fixture.endpoints[0]->connections == 1;
            co_await caller->readUntil("{}");
            if (isFirst) {
                co_await caller->send(notExecutedResponse);
                const std::string again = co_await caller->readUntil("{}");
                if (again.empty()) {
                    co_return;
                }
                ++ran;
                co_await caller->send(notExecutedResponse + sealedResponse("done"));
                co_return;
            }
            ++ran;
            co_await caller->send(sealedResponse("done"));
        });
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_EQUAL(1, ran);
        CPPUNIT_ASSERT_MESSAGE(answer, !contains(answer, " 503 "));
    }

    /// The endpoint refuses an attempt, and when it comes again on the same connection, writes the refusal once more before it runs and answers it: the caller
    /// is told "not run" of a request that ran.
    void copyOfARefusalIsNotBelievedWhenTheAttemptComesAgain()
    {
        for (const std::string &path : {std::string("/order/x"), std::string("/report/x"), std::string("/chat/x")}) {
            for (const std::string &refusal : {notExecutedResponse, sealedResponse("", "own1", "421 Misdirected")}) {
                route_api_fixture fixture;
                fixture.configure();
                fixture.director.retriesLeft = 0;
                bool isRefused = false;
                int ran = 0;
                fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                    std::string copy;
                    while (!(co_await caller->readUntil("{}")).empty()) {
                        if (!std::exchange(isRefused, true)) {
                            copy = refusal;
                            co_await caller->send(refusal);
                            continue;
                        }
                        ++ran;
                        co_await caller->send(copy + sealedResponse("done"));
                    }
                });
                const std::string refused = fixture.ask(path);
                CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, " 503 "));
                const std::string answer = fixture.ask(path);
                CPPUNIT_ASSERT_EQUAL(1, ran);
                CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("done"));
            }
        }
    }

    /// The refusal names no request, so it may be that of an earlier one.
    void unattributedRefusalOnAUsedConnectionIsNotBelieved()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint([](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedResponse("done"));
            co_await caller->readUntil("{}");
            co_await caller->send("HTTP/1.1 503 Busy\r\nChervilbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            co_await caller->readToEnd();
        });
        CPPUNIT_ASSERT(fixture.ask("/order/x").ends_with("done"));
        const std::string answer = fixture.ask("/order/y");
        CPPUNIT_ASSERT_EQUAL(1, fixture.endpoints[0]->connections);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
    }

    /// The endpoint runs the request and writes a refusal of something else before its answer: the request ran twice, or was called not run.
    void unnamedRefusalOnANewConnectionIsNotBelieved()
    {
        const std::string busy = "HTTP/1.1 503 Busy\r\nChervilbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        const std::string misdirected = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
        for (const std::string &path : {std::string("/order/x"), std::string("/report/x")}) {
            for (const std::string &refusal : {busy, misdirected}) {
                for (const int retries : {0, 3}) {
                    route_api_fixture fixture;
                    fixture.configure();
                    fixture.director.retriesLeft = retries;
                    int ran = 0;
                    fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                        co_await caller->readUntil("{}");
                        ++ran;
                        co_await caller->send(refusal + sealedResponse("done"));
                    });
                    const std::string answer = fixture.ask(path);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 1, ran);
                    CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
                }
            }
        }
    }

    void namedRefusalOnANewConnectionIsBelieved()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint(answerAndClose("HTTP/1.1 421 Misdirected\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 0\r\n\r\n"));
        CPPUNIT_ASSERT(contains(fixture.ask("/order/x"), " 503 "));
    }

    /// A success without a seal would reach the caller as one of the endpoint.
    void successThatClaimsNotToHaveRunIsInvalid()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint(answerAndClose("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Not-Executed: 1\r\nContent-Length: 4\r\n\r\ndone"));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
    }

    /// It may be that of the request before on the connection.
    void unnamedAnswerDoesNotReachTheCaller()
    {
        const std::string fields = "Chervilbend-Response-Seal: s1\r\n";
        const std::string complete = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\nothers";
        const std::string streamed = "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk("id: 1\ndata: others\n\n") + lastChunk;
        for (const std::string &unnamed : {complete, streamed}) {
            route_api_fixture fixture;
            fixture.configure();
            fixture.director.retriesLeft = 0;
            fixture.addEndpoint(answerAndClose(unnamed));
            const std::string answer = fixture.ask("/report/x");
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 ") && !contains(answer, "others"));
        }
    }

    void repeatedRefusalOfAnotherRequestIsSkipped()
    {
        route_api_fixture fixture;
        fixture.configure();
        const std::string earlier = "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: other\r\nChervilbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        fixture.addEndpoint(answerAndClose(earlier + sealedResponse("done")));
        CPPUNIT_ASSERT(fixture.ask("/order/x").ends_with("done"));
    }

    /// The endpoint at which a stream is resumed answers with an error, plain or in the form of a stream.
    void errorIsNotAppendedToAStream()
    {
        const std::string plainError = sealedResponse("error text", "own1", "500 Broken");
        const std::string streamedError = "HTTP/1.1 500 Broken\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\n"
                                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk("id: 9\ndata: error text\n\n") + lastChunk;
        const std::string shortError = "HTTP/1.1 500 Broken\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\n"
                                       "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n";
        for (const std::string &error : {plainError, streamedError, shortError}) {
            route_api_fixture fixture;
            fixture.configure();
            fixture.director.retriesLeft = 1;
            fixture.addEndpoint(brokenOffStream(numberedEvent(1) + numberedEvent(2)));
            fixture.addEndpoint(answerAndClose(error));
            const std::string answer = fixture.ask("/chat/x");
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word2"));
            CPPUNIT_ASSERT_MESSAGE(answer, !contains(answer, "error text") && !contains(answer, "500"));
            CPPUNIT_ASSERT_MESSAGE("the stream must not look complete: " + answer, !answer.ends_with(lastChunk));
        }
    }

    void failedResumptionDoesNotEndTheStream()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 1;
        fixture.addEndpoint(brokenOffStream(numberedEvent(1)));
        fixture.addEndpoint(answerAndClose(notExecutedResponse));
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && !contains(answer, "503") && !contains(answer, "not run"));
        CPPUNIT_ASSERT_MESSAGE("the stream must not look complete: " + answer, !answer.ends_with(lastChunk));
    }

    void answerThatEndsInItsHeadIsNoAnswer()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n";
        for (const std::string &path : {std::string("/order/x"), std::string("/report/x")}) {
            for (std::size_t length = 1; length <= head.size() + 1; ++length) {
                route_api_fixture fixture;
                fixture.configure();
                fixture.director.retriesLeft = 0;
                fixture.addEndpoint(answerAndClose((head + "\r").substr(0, length)));
                const std::string answer = fixture.ask(path);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(length) + " bytes: " + answer, contains(answer, " 502 "));
            }
        }
    }

    void endlessAnswerToAnotherRequestIsGivenUp()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint([](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            bool isOpen = co_await caller->send(
                "HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: other\r\nChervilbend-Response-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n");
            const std::string bytes = chunk(std::string(64 * 1024, 'x'));
            while (isOpen) {
                isOpen = co_await caller->send(bytes);
            }
        });
        const base::time_point startedAt = base::clock::now();
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
        // The route's timeout, which would end the request otherwise.
        CPPUNIT_ASSERT(base::clock::now() - startedAt < base::milliseconds(3'000));
    }

    /// The caller has received an event whose place in the stream is not known: if another endpoint went on after the one before it, the event would come
    /// twice, and if it went on after a guessed one, events could be missing.
    void streamWithAnIdThatIsNoNumberIsNotResumed()
    {
        for (const std::string id : {"x", "2x", "2.5", "", "99999999999999999999"}) {
            route_api_fixture fixture;
            fixture.configure();
            const std::string event = "id: " + id + "\ndata: odd\n\n";
            fixture.addEndpoint(brokenOffStream(numberedEvent(1) + chunk(event)));
            fixture.addEndpoint(brokenOffStream(numberedEvent(2) + numberedEvent(3) + lastChunk));
            const std::string answer = fixture.ask("/chat/x");
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && contains(answer, "data: odd"));
            CPPUNIT_ASSERT_MESSAGE(std::string(id).append(": ").append(answer), fixture.endpoints[1]->connections == 0 && !answer.ends_with("0\r\n\r\n"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(faulty_endpoint_test);
