#include "answers.hpp"

#include <chervilbend/node/health/shutdown_sequence.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node;
using namespace chervilbend::node::test;

namespace
{

const std::string readinessRequest = "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

shutdown_settings shutdownSettings(int balancerWaitMs, int timeoutMs)
{
    return {base::milliseconds(balancerWaitMs), base::milliseconds(timeoutMs), base::milliseconds(100)};
}

} // namespace

/// Guards against a planned stop that aborts open requests, does not hand over the leases, or does not end.
class shutdown_sequence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_sequence_test);
    CPPUNIT_TEST(servesHealthAndMetrics);
    CPPUNIT_TEST(handsOverLeasesAfterLastRequest);
    CPPUNIT_TEST(endsAtTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void servesHealthAndMetrics()
    {
        caller_api_fixture front;
        front.ready.setMissing("configuration");
        CPPUNIT_ASSERT(contains(front.ask(readinessRequest), "not ready yet: configuration"));
        front.ready.setMet("configuration");
        CPPUNIT_ASSERT(front.ask(readinessRequest).starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(front.ask("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("ok\n"));
        front.ask(caller_api_fixture::post("/none", "{}"));
        const std::string metrics = front.ask("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(metrics, contains(metrics, "chervilbend_problems_total{kind=\"unknown-route\"} 1\n"));
        CPPUNIT_ASSERT_MESSAGE(metrics, contains(metrics, "chervilbend_open_connections 1\n"));
    }

    void handsOverLeasesAfterLastRequest()
    {
        caller_api_fixture front;
        bool mayRespond = false;
        front.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}");
            co_await waitUntil([&] { return mayRespond; });
            co_await caller->send(completeResponse("{\"late\":1}"));
        });
        std::size_t openRequestsAtHandOver = 99;
        shutdown_sequence shutdown(
            front.context.get_executor(), front.ready, *front.server, front.open, shutdownSettings(100, 10'000), [&]() -> boost::asio::awaitable<void> {
                openRequestsAtHandOver = front.open.size();
                co_return;
            });
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto busy = co_await raw_peer::connect(front.port);
            co_await busy->send(caller_api_fixture::post("/stock", "{}"));
            const auto disconnected = co_await raw_peer::connect(front.port);
            co_await disconnected->send(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            co_await waitUntil([&] { return front.director.open.size() == 2; });
            disconnected->close();
            std::size_t abortedRequests = 99;
            boost::asio::co_spawn(front.context, shutdown.run(), [&](const std::exception_ptr &, std::size_t aborted) { abortedRequests = aborted; });
            co_await waitUntil([&] { return !front.ready.isReady(); });
            // The load balancer has not noticed the change yet: its callers are still served, and readiness probes report the shutdown.
            const auto probe = co_await raw_peer::connect(front.port);
            co_await probe->send(readinessRequest);
            const std::string readiness = co_await probe->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(readiness, contains(readiness, "shutting-down"));
            co_await waitUntil([&] { return isClosed(front.port); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE("the shutdown did not wait for the open requests", std::size_t(99), abortedRequests);
            mayRespond = true;
            const std::string response = co_await busy->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "{\"late\":1}"));
            co_await waitUntil([&] { return abortedRequests != 99; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), abortedRequests);
        });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the leases were handed over before the last request ended", std::size_t(0), openRequestsAtHandOver);
        CPPUNIT_ASSERT(front.gateway.answers.at(0).state == base::run_state::ran);
    }

    void endsAtTimeout()
    {
        caller_api_fixture front;
        stopWithHangingRequest(front, shutdownSettings(10, 400));
    }

private:
    static bool isClosed(std::uint16_t port)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket probe(context);
        boost::system::error_code error;
        probe.connect({boost::asio::ip::address_v4::loopback(), port}, error);
        return error == boost::asio::error::connection_refused;
    }

    /// Runs a shutdown with a request that hangs at its endpoint and a hand-over that hangs as well. The shutdown must end nevertheless.
    static void stopWithHangingRequest(caller_api_fixture &front, shutdown_settings settings)
    {
        front.addEndpoint("service/shop", [](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> { co_await caller->readToEnd(); });
        net::timer never(front.context.get_executor(), base::time_point::max());
        const auto hang = [&]() -> boost::asio::awaitable<void> {
            co_await never.async_wait(net::test::awaitTuple);
        };
        shutdown_sequence shutdown(front.context.get_executor(), front.ready, *front.server, front.open, settings, hang);
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            co_await caller->send(caller_api_fixture::post("/stock", "{}"));
            co_await waitUntil([&] { return front.open.size() == 1; });
            CPPUNIT_ASSERT(front.open.describe().at(0).starts_with("POST /stock from 127.0.0.1:"));
            std::size_t abortedRequests = 0;
            boost::asio::co_spawn(front.context, shutdown.run(), [&](const std::exception_ptr &, std::size_t aborted) { abortedRequests = aborted; });
            co_await waitUntil([&] { return !front.ready.isReady(); });
            const std::string response = co_await caller->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 504 ") && contains(response, "\"run\":\"unknown\""));
            co_await waitUntil([&] { return abortedRequests == 1; });
        });
        never.cancel();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_sequence_test);
