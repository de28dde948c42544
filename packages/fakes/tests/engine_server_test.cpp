#include <chervilbend/fakes/servers/engine_server.hpp>
#include <chervilbend/net/http_client_stream.hpp>
#include <chervilbend/net/http_server.hpp>

#include "../../net/tests/raw_peer.hpp"

#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace chervilbend;
using net::test::waitUntil;

/// Guards against an engine fake that continues requests of disconnected callers, or that ignores priorities: either would invalidate
/// measurements made with it.
class engine_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_server_test);
    CPPUNIT_TEST(freesTheSlotOfADisconnectedCaller);
    CPPUNIT_TEST(admitsUrgentRequestsFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>();
        fakes::engine_server_options options;
        options.batchSize = 1;
        m_engine = std::make_unique<fakes::engine_server>(options);
        m_server = std::make_shared<net::http_server>(m_context->get_executor(), *m_engine);
        m_address = {"127.0.0.1", m_server->listen({"127.0.0.1", 0}).value()};
        net::test::runUntilDone(*m_context, [this]() -> asio::awaitable<void> {
            co_await post("/engine/commands", R"({"action":"load","item":"m@1/a@1","bytes":1,"fencingToken":1})", "");
            std::string report;
            while (report.find(R"("loaded":true)") == std::string::npos) {
                report = co_await get("/engine/report");
            }
        });
    }

    void tearDown() override
    {
        m_server->closeAll();
        m_context->restart();
        m_context->poll();
    }

    void freesTheSlotOfADisconnectedCaller()
    {
        net::test::runUntilDone(*m_context, [this]() -> asio::awaitable<void> {
            net::http_request request(http::verb::post, "/v1/completions", 11);
            request.body() = R"({"model":"m/a","prompt":"x","stream":true,"max_tokens":100000})";
            std::shared_ptr<net::http_client_stream> stream = co_await m_client.open(m_address, request);
            co_await stream->read();
            std::string report = co_await get("/engine/report");
            CPPUNIT_ASSERT(report.find(R"("running":1)") != std::string::npos);
            stream.reset();
            while (report.find(R"("running":0)") == std::string::npos) {
                report = co_await get("/engine/report");
            }
        });
    }

    void admitsUrgentRequestsFirst()
    {
        std::vector<std::string> order;
        net::test::runUntilDone(*m_context, [&]() -> asio::awaitable<void> {
            const auto sendCompletion = [](engine_server_test *self, std::vector<std::string> *completed, std::string priority) -> asio::awaitable<void> {
                co_await self->post("/v1/completions", R"({"model":"a","prompt":"x","max_tokens":20})", priority);
                completed->push_back(priority);
            };
            int waiting = -1;
            for (const char *priority : {"normal", "batch", "normal", "urgent"}) {
                asio::co_spawn(*m_context, sendCompletion(this, &order, priority), asio::detached);
                // Waits until this request is queued before sending the next one, so that the order of arrival is deterministic.
                const std::string expectedField = "\"queued\":" + std::to_string(++waiting);
                std::string report;
                while (report.find(expectedField) == std::string::npos || report.find(R"("running":1)") == std::string::npos) {
                    report = co_await get("/engine/report");
                }
            }
            co_await waitUntil([&] { return order.size() == 4; });
        });
        CPPUNIT_ASSERT((order == std::vector<std::string>{"normal", "urgent", "normal", "batch"}));
    }

private:
    asio::awaitable<void> post(std::string target, std::string body, std::string priority)
    {
        net::http_request request(http::verb::post, target, 11);
        request.body() = body;
        if (!priority.empty()) {
            request.set("X-Priority", priority);
        }
        const std::optional<net::http_response> response = co_await m_client.send(m_address, request);
        CPPUNIT_ASSERT(response && response->result() == http::status::ok);
    }

    asio::awaitable<std::string> get(std::string target)
    {
        net::http_request request(http::verb::get, target, 11);
        const std::optional<net::http_response> response = co_await m_client.send(m_address, request);
        CPPUNIT_ASSERT(response && response->result() == http::status::ok);
        co_return response->body();
    }

    std::unique_ptr<asio::io_context> m_context;
    net::http_client m_client;
    std::unique_ptr<fakes::engine_server> m_engine;
    std::shared_ptr<net::http_server> m_server;
    net::address m_address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_server_test);
