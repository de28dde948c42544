#include <chervilbend/net/connection.hpp>
#include <chervilbend/net/http_exchange.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace asio = boost::asio;

/// Guards against starting orders for callers that have disconnected, and against refusing callers that are still connected.
class http_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_exchange_test);
    CPPUNIT_TEST(detectsAClosedConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    void detectsAClosedConnection()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        asio::ip::tcp::socket caller(context);
        caller.connect(acceptor.local_endpoint());
        const auto accepted = std::make_shared<chervilbend::net::connection>(acceptor.accept());
        const chervilbend::net::http_exchange exchange(accepted, {}, chervilbend::base::milliseconds(1'000));
        CPPUNIT_ASSERT(!exchange.callerHasDisconnected());
        asio::write(caller, asio::buffer("G", 1));
        // A further request on the connection is not a disconnect, and must not be consumed.
        accepted->socket().wait(asio::socket_base::wait_read);
        CPPUNIT_ASSERT(!exchange.callerHasDisconnected());
        char next = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accepted->socket().receive(asio::buffer(&next, 1)));
        caller.close();
        accepted->socket().wait(asio::socket_base::wait_read);
        CPPUNIT_ASSERT(exchange.callerHasDisconnected());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_exchange_test);
