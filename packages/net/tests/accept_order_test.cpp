#include "http_server_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace asio = boost::asio;
using namespace chervilbend::net;
using namespace chervilbend::net::test;

/// Guards against callers that get no answer in time because connections before theirs send many requests at once.
class accept_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(accept_order_test);
    CPPUNIT_TEST(newConnectionDoesNotWaitForAllPipelinedRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void newConnectionDoesNotWaitForAllPipelinedRequests()
    {
        constexpr std::size_t callers = 200;
        constexpr std::size_t requestsPerCaller = 20;
        server_fixture fixture;
        asio::io_context callerContext;
        const asio::ip::tcp::endpoint server(asio::ip::make_address("127.0.0.1"), fixture.port);
        std::string requests;
        for (std::size_t i = 0; i < requestsPerCaller; ++i) {
            requests += "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        std::vector<asio::ip::tcp::socket> sockets;
        for (std::size_t i = 0; i <= callers; ++i) {
            sockets.emplace_back(callerContext);
            sockets.back().connect(server);
            asio::write(sockets.back(), asio::buffer(i < callers ? requests : "GET /last HTTP/1.1\r\nHost: a\r\n\r\n"));
        }

        const std::vector<std::string> &targets = fixture.handler.targets;
        runUntilDone(fixture.context,
                     [&]() -> asio::awaitable<void> { co_await waitUntil([&] { return std::ranges::find(targets, "/last") != targets.end(); }); });
        const auto before = static_cast<std::size_t>(std::ranges::find(targets, "/last") - targets.begin());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(before) + " requests before it", before < callers * requestsPerCaller / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(accept_order_test);
