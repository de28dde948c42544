#include "http_server_fixture.hpp"

#include <chervilbend/net/descriptor_limit.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

namespace asio = boost::asio;
using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;

/// Guards against requests that end without an answer because a limit of connections is reached.
class connection_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_limit_test);
    CPPUNIT_TEST(answersEveryRequestBeyondTheLimit);
    CPPUNIT_TEST(acceptsWhileRefusedCallersStay);
    CPPUNIT_TEST(keepsDescriptorsForOtherConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /// More at a time than are refused at a time; the requests are unread when the connections are closed.
    void answersEveryRequestBeyondTheLimit()
    {
        constexpr std::size_t callers = 200;
        http_server_limits limits;
        limits.connections = 2;
        server_fixture fixture(limits);
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            std::vector<std::shared_ptr<raw_peer>> held;
            for (std::size_t i = 0; i < limits.connections; ++i) {
                held.push_back(co_await raw_peer::connect(fixture.port));
            }
            co_await waitUntil([&] { return fixture.server->openConnections() == limits.connections; });
            std::vector<std::shared_ptr<raw_peer>> refused;
            for (std::size_t i = 0; i < callers; ++i) {
                refused.push_back(co_await raw_peer::connect(fixture.port));
                co_await refused.back()->send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'x'));
            }
            for (const std::shared_ptr<raw_peer> &each : refused) {
                const std::string answer = co_await each->readToEnd();
                CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
                CPPUNIT_ASSERT_MESSAGE("the connection was reset", each->closeError == asio::error::eof);
                each->close();
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(callers), fixture.server->refusedConnections());
            held.front()->close();
            co_await waitUntil([&] { return fixture.server->openConnections() < limits.connections; });
            const auto next = co_await raw_peer::connect(fixture.port);
            co_await next->send("GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            const std::string answer = co_await next->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 "));
        });
    }

    /// Refused callers that do not close their connections must not keep others waiting.
    void acceptsWhileRefusedCallersStay()
    {
        constexpr std::size_t callers = 1'000;
        // The platform asks that a ready node accepts within its window of 3 s.
        constexpr base::milliseconds answerTime{3'000};
        http_server_limits limits;
        limits.connections = 1;
        server_fixture fixture(limits);
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto held = co_await raw_peer::connect(fixture.port);
            co_await waitUntil([&] { return fixture.server->openConnections() == limits.connections; });
            std::vector<std::shared_ptr<raw_peer>> staying;
            for (std::size_t i = 0; i < callers; ++i) {
                staying.push_back(co_await raw_peer::connect(fixture.port));
            }
            const auto other = co_await raw_peer::connect(fixture.port);
            const base::time_point sentAt = base::clock::now();
            co_await other->send("GET /echo HTTP/1.1\r\nHost: a\r\n\r\n");
            const std::string answer = co_await other->readUntil("\r\n");
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
            CPPUNIT_ASSERT(base::clock::now() - sentAt < answerTime);
        });
    }

    void keepsDescriptorsForOtherConnections()
    {
        rlimit before{};
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &before));
        const rlimit lowered{400, before.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &lowered));
        const std::size_t bounded = callerConnectionLimit(10'000);
        const std::size_t configured = callerConnectionLimit(7);
        ::setrlimit(RLIMIT_NOFILE, &before);
        CPPUNIT_ASSERT_EQUAL(std::size_t(300), bounded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), configured);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_limit_test);
