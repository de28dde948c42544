#include "answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;

namespace
{

/// Answers every order on a connection and keeps it open.
raw_server::script shop(std::vector<std::string> &seen)
{
    return [&seen](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
        while (!caller->closed) {
            const std::string request = co_await caller->readUntil("}");
            if (!caller->closed) {
                seen.push_back(request);
                co_await caller->send(whole("{\"burnt\":true}"));
            }
        }
    };
}

} // namespace

/// Guards against orders that run twice, are lost with their caller's connection, or are called "not run" although a byte was written.
class order_desk_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_desk_test);
    CPPUNIT_TEST(needsKey);
    CPPUNIT_TEST(passesOrderToGatewayAndService);
    CPPUNIT_TEST(usesFreshConnections);
    CPPUNIT_TEST(outlivesItsCaller);
    CPPUNIT_TEST(notRunOnlyWithoutAByte);
    CPPUNIT_TEST_SUITE_END();

public:
    void needsKey()
    {
        test_front front;
        const std::string answer = front.ask(test_front::post("/orders", "{\"order\":\"\"}"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 400 ") && contains(answer, "missing-idempotency-key"));
        const std::string tooLong = front.ask(test_front::post("/orders", "{}", "Idempotency-Key: " + std::string(256, 'k') + "\r\n"));
        CPPUNIT_ASSERT_MESSAGE(tooLong, tooLong.starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(front.gateway.orders.empty());
    }

    void passesOrderToGatewayAndService()
    {
        test_front front;
        std::vector<std::string> seen;
        front.addEndpoint("service/shop", shop(seen));
        const std::string answer = front.ask(test_front::post("/orders/burn?now=1", "{\"order\":\"k-1\"}", "X-Account: north\r\nIdempotency-Attempt: 1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && contains(answer, "X-Run-State: ran") && contains(answer, "{\"burnt\":true}"));
        const control::order_request &order = front.gateway.orders.at(0);
        CPPUNIT_ASSERT(order.callerHasLeft);
        CPPUNIT_ASSERT_EQUAL(std::string("k-1"), order.idempotencyKey);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), order.account.value());
        CPPUNIT_ASSERT_EQUAL(std::string("shop/orders/burn"), order.route);
        CPPUNIT_ASSERT(order.firstAttempt);
        CPPUNIT_ASSERT_MESSAGE("another query is another order", contains(order.body, "now=1"));
        CPPUNIT_ASSERT_MESSAGE(seen.at(0), contains(seen.at(0), "Idempotency-Key: k-1"));
        CPPUNIT_ASSERT(!front.director.submitted.at(0).repeatable);
        front.ask(test_front::post("/orders", "{\"order\":\"k-2\"}", "Idempotency-Key: k-3\r\n"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the field of the header wins", std::string("k-3"), front.gateway.orders.at(1).idempotencyKey);
        CPPUNIT_ASSERT(!front.gateway.orders.at(1).firstAttempt);
    }

    void usesFreshConnections()
    {
        test_front front;
        std::vector<std::string> seen;
        const raw_server &service = front.addEndpoint("service/shop", shop(seen));
        for (int i = 1; i <= 3; ++i) {
            front.ask(test_front::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_EQUAL(i, service.connections);
        }
    }

    void outlivesItsCaller()
    {
        test_front front;
        bool callerLeft = false;
        int answered = 0;
        front.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}");
            co_await waitUntil([&] { return callerLeft; });
            answered += co_await caller->send(whole("{}"));
        });
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            co_await caller->send(test_front::post("/orders", "{\"order\":\"k\"}"));
            co_await waitUntil([&] { return front.director.outcomes.empty() && front.endpoints.front()->connections == 1; });
            caller->close();
            co_await waitUntil([&] { return front.server->openConnections() == 0; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE("a shutdown must wait for the order", std::size_t(1), front.open.size());
            callerLeft = true;
            co_await waitUntil([&] { return front.open.size() == 0; });
        });
        CPPUNIT_ASSERT_EQUAL(1, answered);
        CPPUNIT_ASSERT(front.gateway.answers.at(0).state == base::run_state::ran);
    }

    void notRunOnlyWithoutAByte()
    {
        std::uint16_t closedPort = 0;
        {
            boost::asio::io_context context;
            closedPort = raw_server(context, {}).port();
        }
        for (const bool refused : {true, false}) {
            test_front front;
            raw_server *broken = nullptr;
            if (refused) {
                front.addAddress("service/shop", closedPort);
            } else {
                broken = &front.addEndpoint("service/shop", answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));
            }
            std::vector<std::string> seen;
            front.addEndpoint("service/shop", shop(seen));
            front.director.retries = refused ? 0 : 5;
            const std::string answer = front.ask(test_front::post("/orders", "{\"order\":\"k\"}"));
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, refused ? "\"run\":\"not run\"" : "\"run\":\"unknown\""));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("after a byte was written no other endpoint may be tried", std::size_t(0), seen.size());
            CPPUNIT_ASSERT(!broken || broken->connections == 1);
            if (refused) {
                front.director.retries = 1;
                front.director.next = 0;
                const std::string again = front.ask(test_front::post("/orders", "{\"order\":\"k\"}"));
                CPPUNIT_ASSERT_MESSAGE(again, again.starts_with("HTTP/1.1 200 "));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_desk_test);
