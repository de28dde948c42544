#include "http_server_fixture.hpp"

#include <chervilbend/net/unanswered_reason.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace asio = boost::asio;
using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;

/// Guards against a request that ends without an answer and leaves no trace of why.
class unanswered_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unanswered_request_test);
    CPPUNIT_TEST(countsCallersThatLeave);
    CPPUNIT_TEST(countsRequestsThatTheServerAborts);
    CPPUNIT_TEST(abortedRequestIsAnswered);
    CPPUNIT_TEST(countsAnswersThatBreakOff);
    CPPUNIT_TEST_SUITE_END();

public:
    void countsCallersThatLeave()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await waitUntil([&] { return fixture.server->openRequests() == 1; });
            caller->close();
            co_await waitUntil([&] { return count(fixture, unanswered_reason::callerLeft) == 1; });
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), count(fixture, unanswered_reason::aborted) + count(fixture, unanswered_reason::brokenOff));
    }

    void countsRequestsThatTheServerAborts()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("GET /two-parts HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await caller->readUntil("part");
            fixture.server->closeAll();
            const std::string rest = co_await caller->readToEnd();
            CPPUNIT_ASSERT_MESSAGE("a stream that is cut must not look complete", rest.find("0\r\n") == std::string::npos);
            co_await waitUntil([&] { return count(fixture, unanswered_reason::aborted) == 1; });
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), count(fixture, unanswered_reason::callerLeft) + count(fixture, unanswered_reason::brokenOff));
    }

    /// Guards against requests that end without any answer at the end of a planned stop.
    void abortedRequestIsAnswered()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await waitUntil([&] { return fixture.server->openRequests() == 1; });
            fixture.server->closeAll();
            const std::string answer = co_await caller->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 504 "));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Connection: close") != std::string::npos && answer.find("\"run\":\"unknown\"}") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(1, fixture.handler.cancelled);
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), count(fixture, unanswered_reason::aborted));
    }

    void countsAnswersThatBreakOff()
    {
        server_fixture fixture;
        fixture.sendAndReadAll("GET /cut HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), count(fixture, unanswered_reason::brokenOff));
        fixture.sendAndReadAll("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), count(fixture, unanswered_reason::brokenOff));
    }

private:
    static std::uint64_t count(const server_fixture &fixture, unanswered_reason reason)
    {
        return fixture.server->unanswered()[static_cast<std::size_t>(reason)];
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unanswered_request_test);
