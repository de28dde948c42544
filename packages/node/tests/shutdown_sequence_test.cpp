#include "answers.hpp"

#include <chervilbend/node/health/shutdown_sequence.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node;
using namespace chervilbend::node::test;

namespace
{

const std::string askReady = "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

shutdown_settings within(int balancer, int bound)
{
    return {base::milliseconds(balancer), base::milliseconds(bound), base::milliseconds(100)};
}

} // namespace

/// Guards against a planned stop that cuts requests off, forgets the leases, or never ends.
class shutdown_sequence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_sequence_test);
    CPPUNIT_TEST(servesHealth);
    CPPUNIT_TEST(finishesRequestsThenHandsOver);
    CPPUNIT_TEST(endsAtItsBound);
    CPPUNIT_TEST(secondSignalCutsOff);
    CPPUNIT_TEST_SUITE_END();

public:
    void servesHealth()
    {
        test_front front;
        front.ready.setMissing("configuration");
        CPPUNIT_ASSERT(contains(front.ask(askReady), "not ready yet: configuration"));
        front.ready.setMet("configuration");
        CPPUNIT_ASSERT(front.ask(askReady).starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(front.ask("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("ok\n"));
        front.ask(test_front::post("/none", "{}"));
        const std::string metrics = front.ask("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(metrics, contains(metrics, "chervilbend_problems_total{kind=\"unknown-route\"} 1\n"));
        CPPUNIT_ASSERT_MESSAGE(metrics, contains(metrics, "chervilbend_open_connections 1\n"));
    }

    void finishesRequestsThenHandsOver()
    {
        test_front front;
        bool mayAnswer = false;
        front.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}");
            co_await waitUntil([&] { return mayAnswer; });
            co_await caller->send(whole("{\"late\":1}"));
        });
        std::size_t openAtHandOver = 99;
        shutdown_sequence stop(
            front.context.get_executor(), front.ready, *front.server, front.open, within(100, 10'000), [&]() -> boost::asio::awaitable<void> {
                openAtHandOver = front.open.size();
                co_return;
            });
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto busy = co_await raw_peer::connect(front.port);
            co_await busy->send(test_front::post("/stock", "{}"));
            const auto left = co_await raw_peer::connect(front.port);
            co_await left->send(test_front::post("/orders", "{\"order\":\"k\"}"));
            co_await waitUntil([&] { return front.director.open.size() == 2; });
            left->close();
            std::size_t cut = 99;
            boost::asio::co_spawn(front.context, stop.run(), [&](const std::exception_ptr &, std::size_t count) { cut = count; });
            co_await waitUntil([&] { return !front.ready.isReady(); });
            // The load balancer has not seen the change yet: callers that it sends are still served, and told the truth about readiness.
            const auto probe = co_await raw_peer::connect(front.port);
            co_await probe->send(askReady);
            const std::string readiness = co_await probe->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(readiness, contains(readiness, "shutting-down"));
            co_await waitUntil([&] { return isClosed(front.port); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE("the stop did not wait", std::size_t(99), cut);
            mayAnswer = true;
            const std::string answer = co_await busy->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "{\"late\":1}"));
            co_await waitUntil([&] { return cut != 99; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), cut);
        });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("leases go after the last request", std::size_t(0), openAtHandOver);
        CPPUNIT_ASSERT(front.gateway.answers.at(0).state == base::run_state::ran);
    }

    void endsAtItsBound()
    {
        test_front front;
        stopWithHangingRequest(front, within(10, 400), false);
    }

    void secondSignalCutsOff()
    {
        test_front front;
        stopWithHangingRequest(front, within(60'000, 120'000), true);
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

    /// One request hangs at its endpoint and the hand-over never ends; the stop must end all the same.
    static void stopWithHangingRequest(test_front &front, shutdown_settings settings, bool secondSignal)
    {
        front.addEndpoint("service/shop", [](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> { co_await caller->readToEnd(); });
        net::timer never(front.context, base::time_point::max());
        const auto hang = [&]() -> boost::asio::awaitable<void> {
            if (!secondSignal) {
                co_await never.async_wait(net::test::awaitTuple);
            }
        };
        shutdown_sequence stop(front.context.get_executor(), front.ready, *front.server, front.open, settings, hang);
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            co_await caller->send(test_front::post("/stock", "{}"));
            co_await waitUntil([&] { return front.open.size() == 1; });
            CPPUNIT_ASSERT(front.open.describe().at(0).starts_with("POST /stock from 127.0.0.1:"));
            std::size_t cut = 0;
            boost::asio::co_spawn(front.context, stop.run(), [&](const std::exception_ptr &, std::size_t count) { cut = count; });
            co_await waitUntil([&] { return !front.ready.isReady(); });
            if (secondSignal) {
                stop.cutOff();
            }
            const std::string nothing = co_await caller->readToEnd();
            CPPUNIT_ASSERT_EQUAL(std::string(), nothing);
            co_await waitUntil([&] { return cut == 1; });
        });
        never.cancel();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_sequence_test);
