#include "http_server_fixture.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;
namespace asio = boost::asio;

/// Guards against requests that end without an answer because the server drains, and against a drain that does not end.
class http_server_drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_drain_test);
    CPPUNIT_TEST(drainFinishesOpenRequests);
    CPPUNIT_TEST(drainAnswersTheRequestAfterAnOpenStream);
    CPPUNIT_TEST(drainAnswersRequestsThatAreBeingRead);
    CPPUNIT_TEST(drainServesConnectionsThatWaitToBeAccepted);
    CPPUNIT_TEST(drainServesTheConnectionThatIsBeingAccepted);
    CPPUNIT_TEST(drainClosesIdleConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    void drainFinishesOpenRequests()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto idle = co_await raw_peer::connect(fixture.port);
            const auto busy = co_await raw_peer::connect(fixture.port);
            co_await busy->send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none");
            co_await waitUntil([&] { return fixture.server->openRequests() == 1; });
            fixture.server->drain();
            const std::string nothing = co_await idle->readToEnd();
            CPPUNIT_ASSERT_EQUAL(std::string(), nothing);
            const std::string answer = co_await busy->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("one!"));
            CPPUNIT_ASSERT_MESSAGE("a drained connection must say that it closes", answer.find("Connection: close") != std::string::npos);
        });
    }

    /// Guards against discarding a request that a caller sends after a stream whose header, sent before the drain, promised to keep the connection.
    void drainAnswersTheRequestAfterAnOpenStream()
    {
        for (const bool isAnnouncedOnly : {true, false}) {
            server_fixture fixture;
            runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
                const auto caller = co_await raw_peer::connect(fixture.port);
                co_await caller->send("GET /two-parts HTTP/1.1\r\nHost: a\r\n\r\n");
                const std::string head = co_await caller->readUntil("part\r\n");
                CPPUNIT_ASSERT_MESSAGE(head, head.find("Connection: close") == std::string::npos);
                if (isAnnouncedOnly) {
                    fixture.server->announceDrain();
                } else {
                    fixture.server->drain();
                }
                fixture.handler.mayFinish = true;
                co_await caller->readUntil("0\r\n\r\n");
                co_await caller->send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nlast");
                const std::string answer = co_await caller->readToEnd();
                CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("last!"));
                CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Connection: close") != std::string::npos);
            });
        }
    }

    /// Guards against closing a connection between two parts of a request's body.
    void drainAnswersRequestsThatAreBeingRead()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            // The header has been read when this arrives.
            co_await caller->readUntil("\r\n\r\n");
            fixture.server->drain();
            co_await caller->send("late");
            const std::string answer = co_await caller->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("late!"));
        });
    }

    /// Guards against resetting connections that the kernel has established and whose requests have arrived.
    void drainServesConnectionsThatWaitToBeAccepted()
    {
        server_fixture fixture;
        asio::io_context callerContext;
        asio::ip::tcp::socket caller(callerContext);
        caller.connect({asio::ip::address_v4::loopback(), fixture.port});
        asio::write(caller, asio::buffer(std::string("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nwait")));
        fixture.server->drain();
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> { co_await waitUntil([&] { return fixture.server->openConnections() == 0; }); });
        std::string answer;
        boost::system::error_code error;
        asio::read(caller, asio::dynamic_buffer(answer), error);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("wait!"));
    }

    /// Guards against resetting a connection that has been accepted but not yet handed to the server when it drains.
    void drainServesTheConnectionThatIsBeingAccepted()
    {
        server_fixture fixture;
        asio::io_context callerContext;
        // More than the server accepts at a time.
        constexpr std::size_t callerCount = 80;
        std::vector<asio::ip::tcp::socket> callers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.emplace_back(callerContext).connect({asio::ip::address_v4::loopback(), fixture.port});
            asio::write(callers.back(), asio::buffer(std::string("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nwait")));
        }
        // Asio accepts one more connection while the handler of the first ones runs.
        for (int i = 0; i < 50 && fixture.server->openConnections() == 0; ++i) {
            fixture.context.run_one_for(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT(fixture.server->openConnections() > 0 && fixture.server->openConnections() < callerCount);
        fixture.server->drain();
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> { co_await waitUntil([&] { return fixture.server->openConnections() == 0; }); });
        for (asio::ip::tcp::socket &caller : callers) {
            std::string answer;
            boost::system::error_code error;
            asio::read(caller, asio::dynamic_buffer(answer), error);
            CPPUNIT_ASSERT_MESSAGE(error.message() + " " + answer, answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("wait!"));
        }
    }

    /// Guards against a stop that waits for callers which have nothing to ask.
    void drainClosesIdleConnections()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto unused = co_await raw_peer::connect(fixture.port);
            const auto used = co_await raw_peer::connect(fixture.port);
            co_await used->send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na");
            co_await used->readUntil("a!");
            fixture.server->drain();
            const std::string afterAnswer = co_await used->readToEnd();
            CPPUNIT_ASSERT_EQUAL(std::string(), afterAnswer);
            const std::string nothing = co_await unused->readToEnd();
            CPPUNIT_ASSERT_EQUAL(std::string(), nothing);
            co_await waitUntil([&] { return fixture.server->openConnections() == 0; });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_drain_test);
