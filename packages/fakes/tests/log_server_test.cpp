#include <chervilbend/fakes/servers/engine_server.hpp>
#include <chervilbend/fakes/servers/log_server.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_server.hpp>

#include "../../net/tests/raw_peer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace chervilbend;

/// Guards against fakes that take a position that they can't read for the beginning, and so hide a client that reads everything again.
class log_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_server_test);
    CPPUNIT_TEST(readAtAnUnreadablePositionIsRefused);
    CPPUNIT_TEST(readableNumbersAreTakenAsTheyAre);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>();
        m_log = std::make_unique<fakes::log_server>(fakes::log_store_options{});
        m_logListener = std::make_shared<net::http_server>(m_context->get_executor(), *m_log);
        m_logAddress = {"127.0.0.1", m_logListener->listen({"127.0.0.1", 0}).value()};
        m_engine = std::make_unique<fakes::engine_server>(fakes::engine_server_options{});
        m_engineListener = std::make_shared<net::http_server>(m_context->get_executor(), *m_engine);
        m_engineAddress = {"127.0.0.1", m_engineListener->listen({"127.0.0.1", 0}).value()};
    }

    void tearDown() override
    {
        m_logListener->closeAll();
        m_engineListener->closeAll();
        m_context->restart();
        m_context->poll();
    }

    void readAtAnUnreadablePositionIsRefused()
    {
        const std::string after = "/streams/day/records?after=";
        const std::string wait = "/streams/day/records?after=0&waitMs=";
        const std::string events = "/engine/cache-events?after=";
        for (const std::string number : {"", "x", "1x", "-1", "+1", "%zz", "1.0", "9223372036854775808", "18446744073709551616"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400U, send(m_logAddress, after + number).result_int());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400U, send(m_logAddress, wait + number).result_int());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 400U, send(m_engineAddress, events + number).result_int());
        }
    }

    /// A refusal of these would keep nodes from reading at all.
    void readableNumbersAreTakenAsTheyAre()
    {
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, send(m_logAddress, "/streams/day/records", "[]").result_int());
        }
        const std::string all = R"({"firstRetained":1,"head":2,"records":[{"offset":1,"payload":"[]"},{"offset":2,"payload":"[]"}]})";
        const std::string last = R"({"firstRetained":1,"head":2,"records":[{"offset":2,"payload":"[]"}]})";
        CPPUNIT_ASSERT_EQUAL(all + '\n', send(m_logAddress, "/streams/day/records").body());
        CPPUNIT_ASSERT_EQUAL(all + '\n', send(m_logAddress, "/streams/day/records?waitMs=30001").body());
        CPPUNIT_ASSERT_EQUAL(last + '\n', send(m_logAddress, "/streams/day/records?after=1&after=0").body());
        CPPUNIT_ASSERT_EQUAL(last + '\n', send(m_logAddress, "/streams/day/records?after=%31").body());
        const std::string none = R"({"firstRetained":1,"head":2,"records":[]})";
        CPPUNIT_ASSERT_EQUAL(none + '\n', send(m_logAddress, "/streams/day/records?after=2").body());
        CPPUNIT_ASSERT_EQUAL(none + '\n', send(m_logAddress, "/streams/day/records?after=9223372036854775807").body());
        CPPUNIT_ASSERT_EQUAL(200U, send(m_engineAddress, "/engine/cache-events").result_int());
        CPPUNIT_ASSERT_EQUAL(200U, send(m_engineAddress, "/engine/cache-events?after=1").result_int());
    }

private:
    net::http_response send(const net::address &address, const std::string &target, std::optional<std::string> body = std::nullopt)
    {
        std::optional<net::http_response> response;
        net::test::runUntilDone(*m_context, [&]() -> asio::awaitable<void> {
            net::http_request request(body ? http::verb::post : http::verb::get, target, 11);
            request.body() = body.value_or("");
            response = co_await m_client.send(address, std::move(request));
        });
        CPPUNIT_ASSERT_MESSAGE(target, response.has_value());
        return *response;
    }

    std::unique_ptr<asio::io_context> m_context;
    net::http_client m_client;
    std::unique_ptr<fakes::log_server> m_log;
    std::shared_ptr<net::http_server> m_logListener;
    net::address m_logAddress;
    std::unique_ptr<fakes::engine_server> m_engine;
    std::shared_ptr<net::http_server> m_engineListener;
    net::address m_engineAddress;
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_server_test);
