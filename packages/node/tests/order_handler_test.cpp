#include "answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;

namespace
{

/// Responds to every order on a connection and keeps the connection open.
raw_server::script answerOrders(std::vector<std::string> &receivedOrders)
{
    return [&receivedOrders](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
        while (!caller->closed) {
            const std::string request = co_await caller->readUntil("}");
            if (!caller->closed) {
                receivedOrders.push_back(request);
                co_await caller->send(completeResponse("{\"burnt\":true}"));
            }
        }
    };
}

} // namespace

/// Guards against orders that run twice, that are lost when their caller disconnects, or that are reported as "not run" although a byte was
/// sent to the service.
class order_handler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_handler_test);
    CPPUNIT_TEST(requiresIdempotencyKey);
    CPPUNIT_TEST(forwardsOrderToGatewayAndService);
    CPPUNIT_TEST(usesFreshConnections);
    CPPUNIT_TEST(continuesAfterCallerDisconnects);
    CPPUNIT_TEST(reportsNotRunOnlyWhenNothingWasSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void requiresIdempotencyKey()
    {
        caller_api_fixture fixture;
        const std::string answer = fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"\"}"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 400 ") && contains(answer, "missing-idempotency-key"));
        const std::string tooLong = fixture.ask(caller_api_fixture::post("/orders", "{}", "Idempotency-Key: " + std::string(256, 'k') + "\r\n"));
        CPPUNIT_ASSERT_MESSAGE(tooLong, tooLong.starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(fixture.gateway.orders.empty());
    }

    void forwardsOrderToGatewayAndService()
    {
        caller_api_fixture fixture;
        std::vector<std::string> receivedOrders;
        fixture.addEndpoint("service/shop", answerOrders(receivedOrders));
        const std::string answer =
            fixture.ask(caller_api_fixture::post("/orders/burn?now=1", "{\"order\":\"k-1\"}", "X-Account: north\r\nIdempotency-Attempt: 1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && contains(answer, "X-Run-State: ran") && contains(answer, "{\"burnt\":true}"));
        const control::order_request &order = fixture.gateway.orders.at(0);
        CPPUNIT_ASSERT(order.callerHasLeft);
        CPPUNIT_ASSERT_EQUAL(std::string("k-1"), order.idempotencyKey);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), order.account.value());
        CPPUNIT_ASSERT_EQUAL(std::string("shop/orders/burn"), order.route);
        CPPUNIT_ASSERT(order.firstAttempt);
        CPPUNIT_ASSERT_MESSAGE("the query must be part of the order", contains(order.body, "now=1"));
        CPPUNIT_ASSERT_MESSAGE(receivedOrders.at(0), contains(receivedOrders.at(0), "Idempotency-Key: k-1"));
        CPPUNIT_ASSERT(!fixture.director.submitted.at(0).repeatable);
        fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k-2\"}", "Idempotency-Key: k-3\r\n"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the header field takes precedence over the body", std::string("k-3"), fixture.gateway.orders.at(1).idempotencyKey);
        CPPUNIT_ASSERT(!fixture.gateway.orders.at(1).firstAttempt);
    }

    void usesFreshConnections()
    {
        caller_api_fixture fixture;
        std::vector<std::string> receivedOrders;
        const raw_server &service = fixture.addEndpoint("service/shop", answerOrders(receivedOrders));
        for (int i = 1; i <= 3; ++i) {
            fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_EQUAL(i, service.connections);
        }
    }

    void continuesAfterCallerDisconnects()
    {
        caller_api_fixture fixture;
        bool callerLeft = false;
        int answered = 0;
        fixture.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}");
            co_await waitUntil([&] { return callerLeft; });
            answered += co_await caller->send(completeResponse("{}"));
        });
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            co_await waitUntil([&] { return fixture.director.outcomes.empty() && fixture.endpoints.front()->connections == 1; });
            caller->close();
            co_await waitUntil([&] { return fixture.server->openConnections() == 0; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE("a shutdown must wait for the order", std::size_t(1), fixture.open.size());
            callerLeft = true;
            co_await waitUntil([&] { return fixture.open.size() == 0; });
        });
        CPPUNIT_ASSERT_EQUAL(1, answered);
        CPPUNIT_ASSERT(fixture.gateway.answers.at(0).state == base::run_state::ran);
    }

    void reportsNotRunOnlyWhenNothingWasSent()
    {
        boost::asio::io_context context;
        const net::test::closed_port closedPort(context);
        for (const bool refused : {true, false}) {
            caller_api_fixture fixture;
            raw_server *broken = nullptr;
            if (refused) {
                fixture.addAddress("service/shop", closedPort.number());
            } else {
                broken = &fixture.addEndpoint("service/shop", answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));
            }
            std::vector<std::string> receivedOrders;
            fixture.addEndpoint("service/shop", answerOrders(receivedOrders));
            fixture.director.retriesLeft = refused ? 0 : 5;
            const std::string answer = fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, refused ? "\"run\":\"not run\"" : "\"run\":\"unknown\""));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("the order was sent to another endpoint after a byte had been sent", std::size_t(0), receivedOrders.size());
            CPPUNIT_ASSERT(!broken || broken->connections == 1);
            if (refused) {
                fixture.director.retriesLeft = 1;
                fixture.director.nextEndpoint = 0;
                const std::string again = fixture.ask(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
                CPPUNIT_ASSERT_MESSAGE(again, again.starts_with("HTTP/1.1 200 "));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_handler_test);
