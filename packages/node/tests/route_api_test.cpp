#include "log_file.hpp"
#include "route_api_fixture.hpp"

#include <chervilbend/base/log.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/patternlayout.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::node::test;
namespace asio = boost::asio;

/// Guards against orders that run twice, a status 503 for requests that may have been executed, and responses that are delivered to the wrong
/// caller, truncated or repeated.
class route_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_api_test);
    CPPUNIT_TEST(forwardsResponseUnchanged);
    CPPUNIT_TEST(rejectsBeforeConfigurationIsLoaded);
    CPPUNIT_TEST(unknownRouteIsNotFound);
    CPPUNIT_TEST(unansweredOrderIsNotRetried);
    CPPUNIT_TEST(unsentOrderIsRetried);
    CPPUNIT_TEST(definiteRefusalsGiveServiceUnavailable);
    CPPUNIT_TEST(ambiguousRefusalIsNotForwarded);
    CPPUNIT_TEST(skipsResponseToOtherRequest);
    CPPUNIT_TEST(responseMayEndWithConnectionClose);
    CPPUNIT_TEST(resetResponseIsIncomplete);
    CPPUNIT_TEST(requestDuringAStopGetsOnlyTheTimeThatIsLeft);
    CPPUNIT_TEST(requestAfterTheDrainBeganIsRefused);
    CPPUNIT_TEST(streamResumesAtAnotherEndpoint);
    CPPUNIT_TEST(nonResumableStreamIsNotTerminated);
    CPPUNIT_TEST(streamMayEndWithConnectionClose);
    CPPUNIT_TEST(unframedStreamThatEndsInsideAnEventIsBrokenOff);
    CPPUNIT_TEST(unframedStreamWithoutEventsIsBrokenOff);
    CPPUNIT_TEST(sharedPromptPartsAreTracked);
    CPPUNIT_TEST(crashingRequestIsNotInvitedAgain);
    CPPUNIT_TEST(silentEndpointIsAbandonedForRepeatableRequest);
    CPPUNIT_TEST(queuedStreamIsNotAbandoned);
    CPPUNIT_TEST(preemptedStreamIsNotAbandoned);
    CPPUNIT_TEST(openRequestIsNamed);
    CPPUNIT_TEST(callerThatLeavesIsLogged);
    CPPUNIT_TEST(endlessHeaderIsRefusedAtOnce);
    CPPUNIT_TEST(endlessInterimResponsesAreRefusedAtOnce);
    CPPUNIT_TEST(endlessEventIsRefusedAtOnce);
    CPPUNIT_TEST(endlessBodyIsNotComplete);
    CPPUNIT_TEST(fingerprintTellsPromptsApart);
    CPPUNIT_TEST(unavailableItemIsRejected);
    CPPUNIT_TEST(engineMissingItemIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void forwardsResponseUnchanged()
    {
        route_api_fixture fixture;
        fixture.configure();
        std::string received;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            received = co_await caller->readUntil("{}");
            co_await caller->send(sealedResponse("the answer", "own1", "201 Made"));
        });
        const std::string answer = fixture.ask("/order/x?y=z");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "201 ") && contains(answer, "Chervilbend-Response-Seal: s1") && answer.ends_with("the answer"));
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("POST /order/x?y=z HTTP/1.1") && contains(received, "Host: h.example"));
        CPPUNIT_ASSERT(contains(received, "Chervilbend-Expect-Instance: i-") && !contains(received, "Chervilbend-Deadline-Milliseconds: 5000"));
    }

    void rejectsBeforeConfigurationIsLoaded()
    {
        route_api_fixture fixture;
        CPPUNIT_ASSERT_MESSAGE("without a configuration, a route must not be reported as unknown", contains(fixture.ask("/order/x"), " 503 "));
    }

    void unknownRouteIsNotFound()
    {
        route_api_fixture fixture;
        fixture.configure();
        CPPUNIT_ASSERT(contains(fixture.ask("/other/x"), " 404 "));
    }

    void unansweredOrderIsNotRetried()
    {
        route_api_fixture fixture;
        fixture.configure();
        int received = 0;
        const auto dropRequest = [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            ++received;
        };
        fixture.addEndpoint(dropRequest);
        fixture.addEndpoint(dropRequest);
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_EQUAL(1, received);
        CPPUNIT_ASSERT_MESSAGE("the order may have run", contains(answer, " 502 "));
    }

    void unsentOrderIsRetried()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addAddress(1);
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedResponse("done"));
        });
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE("a refused connection must not count as an attempt: " + answer, answer.ends_with("done"));
    }

    void definiteRefusalsGiveServiceUnavailable()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(notExecutedResponse));
        fixture.addEndpoint(answerAndClose(notExecutedResponse));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "Retry-After: 0.2"));
    }

    void ambiguousRefusalIsNotForwarded()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedResponse("", "own1", "503 Busy")));
        CPPUNIT_ASSERT(contains(fixture.ask("/order/x"), " 502 "));
    }

    void skipsResponseToOtherRequest()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedResponse("of another", "other7") + sealedResponse("mine"));
        });
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("mine") && !contains(answer, "of another"));
    }

    void responseMayEndWithConnectionClose()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\n\r\nno length"));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 200 ") && answer.ends_with("no length"));
    }

    void resetResponseIsIncomplete()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\n\r\nno len");
            co_await net::sleepFor(base::milliseconds(20));
            caller->socket.set_option(asio::socket_base::linger(true, 0));
            // The destructor of Asio's socket would reset the linger option, so the socket is closed explicitly.
            caller->close();
        });
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
    }

    /// A request that is taken late in the grace of a stop was sent on with its whole time, and cut off without an answer.
    void requestDuringAStopGetsOnlyTheTimeThatIsLeft()
    {
        route_api_fixture fixture;
        fixture.configure();
        std::string sent;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            sent = co_await caller->readUntil("{}");
            co_await caller->send(sealedResponse("done"));
        });
        const base::time_point end = base::clock::now() + base::milliseconds(400);
        fixture.api.stopAt(end, end);
        CPPUNIT_ASSERT(fixture.ask("/order/x").ends_with("done"));
        CPPUNIT_ASSERT(fixture.director.submitted.at(0).deadline <= end);
        CPPUNIT_ASSERT_MESSAGE(sent, !contains(sent, "Deadline-Milliseconds: 3000"));
        const base::time_point now = base::clock::now();
        fixture.api.stopAt(now, now);
        const std::string late = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(late, contains(late, " 503 ") && contains(late, "X-Run-State: not run"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.director.submitted.size());
    }

    /// Guards against a request that a caller sends on a kept connection late in a stop, and that needs more time than is left.
    void requestAfterTheDrainBeganIsRefused()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedResponse("done")));
        const base::time_point now = base::clock::now();
        fixture.api.stopAt(now, now + base::milliseconds(10'000));
        const std::string late = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(late, contains(late, " 503 ") && contains(late, "X-Run-State: not run") && contains(late, "Retry-After"));
        CPPUNIT_ASSERT(fixture.director.submitted.empty());
    }

    void streamResumesAtAnotherEndpoint()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numberedEvent(1) + numberedEvent(2) + "9\r\nid: 3\ndat\r\n");
        });
        std::string second;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            second = co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numberedEvent(3) + numberedEvent(4) + lastChunk);
        });
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(second, contains(second, "Last-Event-Id: 2"));
        for (int id = 1; id <= 4; ++id) {
            const std::string word = "word" + std::to_string(id);
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, word) && answer.find(word) == answer.rfind(word));
        }
        CPPUNIT_ASSERT(answer.find("HTTP/1.1") == answer.rfind("HTTP/1.1") && answer.ends_with("0\r\n\r\n"));
    }

    void nonResumableStreamIsNotTerminated()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(1)));
        const std::string answer = fixture.ask("/report/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && !answer.ends_with("0\r\n\r\n") && !contains(answer, "event: error"));
    }

    void streamMayEndWithConnectionClose()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(unframedStream + "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n"));
        const std::string answer = fixture.ask("/report/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word2") && answer.ends_with("0\r\n\r\n"));
    }

    /// Guards against a stream that shows no error when its endpoint ends in the middle of an event.
    void unframedStreamThatEndsInsideAnEventIsBrokenOff()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(unframedStream + "id: 1\ndata: word1\n\nid: 2\ndata: wo"));
        const std::string answer = fixture.ask("/report/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && !answer.ends_with("0\r\n\r\n"));
    }

    /// Guards against an empty success when an endpoint ends before it has written anything.
    void unframedStreamWithoutEventsIsBrokenOff()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(unframedStream));
        const std::string answer = fixture.ask("/report/x");
        CPPUNIT_ASSERT_MESSAGE(answer, !contains(answer, " 200 "));
    }

    /// Guards against tracking crashes by whole requests, of which no two are alike, and against suspecting the part that is a request's own.
    void sharedPromptPartsAreTracked()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.ask("/chat/x", "Chervilbend-Prompt-Prefix: aa:10,bb:5,c1:7\r\n");
        fixture.ask("/chat/x", "Chervilbend-Prompt-Prefix: dd:10,bb:5,c2:7\r\n");
        fixture.ask("/chat/x", "Chervilbend-Prompt-Prefix: c1:7\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.director.submitted.size());
        const std::vector<std::uint64_t> &first = fixture.director.submitted.at(0).promptParts;
        const std::vector<std::uint64_t> &second = fixture.director.submitted.at(1).promptParts;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), second.size());
        CPPUNIT_ASSERT(first.at(0) != second.at(0));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a part is the same wherever it stands", first.at(1), second.at(1));
        CPPUNIT_ASSERT(fixture.director.submitted.at(2).promptParts.empty());
    }

    /// Guards against callers that are told to come back with a request that will be refused again.
    void crashingRequestIsNotInvitedAgain()
    {
        route_api_fixture fixture;
        fixture.configure();
        CPPUNIT_ASSERT(contains(fixture.ask("/chat/x"), "Retry-After"));
        fixture.director.refusalKind = base::error_kind::requestRefused;
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && !contains(answer, "Retry-After"));
    }

    void silentEndpointIsAbandonedForRepeatableRequest()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> { co_await caller->readToEnd(); });
        fixture.addEndpoint(answerAndClose(sealedResponse("from the second")));
        const std::string answer = fixture.ask("/status/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("from the second"));
    }

    void queuedStreamIsNotAbandoned()
    {
        checkPausedStream({}, sealedStream + numberedEvent(1) + numberedEvent(2) + lastChunk);
    }

    void preemptedStreamIsNotAbandoned()
    {
        checkPausedStream(sealedStream + numberedEvent(1), numberedEvent(2) + lastChunk);
    }

    /// Guards against a log line of a cut request that doesn't tell which one it was.
    void openRequestIsNamed()
    {
        route_api_fixture fixture;
        fixture.configure();
        std::string line;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            line = fixture.open.describe().at(0);
        });
        fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(line, line.starts_with("POST /order/x, request own1 from 127.0.0.1:"));
    }

    /// Guards against a request whose log ends with the line of its last attempt, as if it had been lost.
    void callerThatLeavesIsLogged()
    {
        const log_file lines;
        const auto appender = std::make_shared<log4cxx::FileAppender>(std::make_shared<log4cxx::PatternLayout>("%m%n"), lines.path(), true);
        const log4cxx::LoggerPtr logger = base::partLogger("route");
        logger->addAppender(appender);
        route_api_fixture fixture;
        fixture.configure();
        bool isAsked = false;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            isAsked = true;
            co_await caller->readToEnd();
        });
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("POST /order/x HTTP/1.1\r\nHost: h.example\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 2\r\n\r\n{}");
            co_await net::test::waitUntil([&] { return isAsked; });
            caller->close();
            co_await net::test::waitUntil([&] { return fixture.open.size() == 0; });
        });
        logger->removeAppender(appender);
        CPPUNIT_ASSERT(lines.contains("callerLeft") && lines.contains("own1"));
    }

    void endlessHeaderIsRefusedAtOnce()
    {
        checkEndlessResponse("/order/x", "HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(1'000, 'a') + "\r\n");
    }

    void endlessInterimResponsesAreRefusedAtOnce()
    {
        checkEndlessResponse("/order/x", {}, "HTTP/1.1 100 Continue\r\n\r\n");
    }

    void endlessEventIsRefusedAtOnce()
    {
        checkEndlessResponse("/report/x", sealedStream, chunk(std::string(1'000, 'a')));
    }

    void endlessBodyIsNotComplete()
    {
        route_api_fixture fixture;
        fixture.configure();
        bool isClosed = false;
        fixture.addEndpoint(sendEndlessly("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("garbage"), isClosed));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE("the response has no end", !answer.ends_with("0\r\n\r\n"));
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> { co_await net::test::waitUntil([&] { return isClosed; }); });
    }

    /// Guards against taking requests that differ in their prompts alone for one request.
    void fingerprintTellsPromptsApart()
    {
        route_api_fixture fixture;
        fixture.configure();
        for (const char *prompt : {"aa:10,c1:7", "aa:10,c2:7", "bb:10,c1:7", "aa:10,c1:7"}) {
            fixture.ask("/chat/x", "Chervilbend-Prompt-Prefix: " + std::string(prompt) + "\r\n");
        }
        const std::vector<routing::request_facts> &submitted = fixture.director.submitted;
        const std::set<std::uint64_t> fingerprints{submitted.at(0).fingerprint, submitted.at(1).fingerprint, submitted.at(2).fingerprint};
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fingerprints.size());
        CPPUNIT_ASSERT_MESSAGE("a repeated request is the same", submitted.at(3).fingerprint == submitted.at(0).fingerprint);
    }

    void unavailableItemIsRejected()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.itemProvider.isAvailable = false;
        const std::string answer = fixture.ask("/chat/x", "Chervilbend-Model: tall/a3\r\n");
        CPPUNIT_ASSERT(contains(answer, " 503 "));
        CPPUNIT_ASSERT(fixture.itemProvider.requestedItems.size() == 1 && fixture.itemProvider.requestedItems.at(0).adapter == "a3");
    }

    void engineMissingItemIsReported()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose("HTTP/1.1 421 Misdirected\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 0\r\n\r\n"));
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(1) + lastChunk));
        const std::string answer = fixture.ask("/chat/x", "Chervilbend-Model: tall\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.itemProvider.missing.size());
    }

private:
    /// The endpoint sends @p start, nothing for longer than the silence timeout, and then @p rest. Guards against a stream that a busy engine has
    /// queued or preempted and that is given up for another endpoint, where it starts anew.
    static void checkPausedStream(const std::string &start, const std::string &rest)
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(start);
            co_await net::sleepFor(base::milliseconds(1'200));
            co_await caller->send(rest);
        });
        int received = 0;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            ++received;
        });
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_EQUAL(0, received);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word2") && answer.ends_with("0\r\n\r\n"));
    }

    /// The endpoint sends @p start, and then @p part again and again until the node closes the connection.
    static raw_server::script sendEndlessly(std::string start, std::string part, bool &isClosed)
    {
        return [start = std::move(start), part = std::move(part), &isClosed](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            bool isOpen = co_await caller->send(start);
            while (isOpen) {
                isOpen = co_await caller->send(part);
            }
            isClosed = true;
        };
    }

    /// Guards against bytes without end that occupy the node's processor and memory, or the caller, until the request's deadline.
    static void checkEndlessResponse(const std::string &path, const std::string &start, const std::string &part)
    {
        route_api_fixture fixture;
        fixture.configure();
        bool isClosed = false;
        fixture.addEndpoint(sendEndlessly(start, part, isClosed));
        const base::time_point askedAt = base::clock::now();
        const std::string answer = fixture.ask(path);
        CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 500), contains(answer, " 502 "));
        CPPUNIT_ASSERT_MESSAGE("the deadline is 3 s", base::clock::now() - askedAt < base::milliseconds(2'000));
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> { co_await net::test::waitUntil([&] { return isClosed; }); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_api_test);
