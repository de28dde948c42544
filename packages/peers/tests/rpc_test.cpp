#include "../../net/tests/answer_statuses.hpp"
#include "../../net/tests/raw_peer.hpp"

#include <chervilbend/net/http_server.hpp>
#include <chervilbend/peers/rpc_client.hpp>
#include <chervilbend/peers/rpc_headers.hpp>
#include <chervilbend/peers/rpc_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using membership::message_signer;

namespace
{

class greet_method : public peers::rpc_method
{
public:
    std::string name() const override
    {
        return "greet";
    }

    std::optional<Json::Value> call(const Json::Value &parameters) override
    {
        ++calls;
        if (!parameters["name"].isString()) {
            return fail(base::error_kind::configConflict, "no name given");
        }
        Json::Value result(Json::objectValue);
        result["text"] = "hello " + parameters["name"].asString();
        return result;
    }

    int calls = 0;
};

constexpr base::milliseconds timeout{5'000};

} // namespace

/// Guards against nodes that act on unsigned messages, and against failed calls whose reason does not reach the caller.
class rpc_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rpc_test);
    CPPUNIT_TEST(returnsResultsAndErrors);
    CPPUNIT_TEST(refusesWrongKeysAndCountsThem);
    CPPUNIT_TEST(reportsAnUnavailablePeer);
    CPPUNIT_TEST(statusOutsideTheProtocolIsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_greet = std::make_shared<greet_method>();
        m_server = std::make_unique<peers::rpc_server>(std::make_shared<message_signer>(membership::signing_keys{"key", ""}));
        m_server->add(m_greet);
        m_http = std::make_shared<net::http_server>(m_context.get_executor(), *m_server);
        m_peer = {"127.0.0.1", m_http->listen({"127.0.0.1", 0}).value()};
        m_transport = std::make_shared<net::http_client>();
    }

    void tearDown() override
    {
        m_http->closeAll();
        m_context.restart();
        m_context.poll();
        m_http.reset();
        m_server.reset();
    }

    void returnsResultsAndErrors()
    {
        Json::Value parameters(Json::objectValue);
        parameters["name"] = "node-1";
        const auto greeting = call("key", "greet", parameters);
        CPPUNIT_ASSERT(greeting);
        CPPUNIT_ASSERT_EQUAL(std::string("hello node-1"), (*greeting)["text"].asString());
        CPPUNIT_ASSERT(!call("key", "greet", Json::Value(Json::objectValue)));
        CPPUNIT_ASSERT(m_why.kind == base::error_kind::configConflict);
        CPPUNIT_ASSERT_EQUAL(std::string("no name given"), m_why.text);
        CPPUNIT_ASSERT(!call("key", "unknown", parameters));
        CPPUNIT_ASSERT(m_why.kind == base::error_kind::internal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_server->refusedMessages());
    }

    void refusesWrongKeysAndCountsThem()
    {
        CPPUNIT_ASSERT(!call("other key", "greet", Json::Value(Json::objectValue)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(m_why.text, std::string("401"), m_why.text.substr(m_why.text.size() - 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_server->refusedMessages());
        CPPUNIT_ASSERT_EQUAL(0, m_greet->calls);
    }

    void reportsAnUnavailablePeer()
    {
        m_http->drain();
        CPPUNIT_ASSERT(!call("key", "greet", Json::Value(Json::objectValue)));
        CPPUNIT_ASSERT(m_why.kind == base::error_kind::peerUnavailable);
    }

    /// The answer that follows one with such a status would be taken for that to the call.
    void statusOutsideTheProtocolIsNoAnswer()
    {
        for (const std::string &status : net::test::statusesOutsideTheProtocol) {
            net::test::raw_server peer(m_context, [&](std::shared_ptr<net::test::raw_peer> caller) -> boost::asio::awaitable<void> {
                co_await caller->readUntil("\r\n\r\n");
                co_await caller->send(net::test::emptyAnswer(status) + net::test::emptyAnswer("401"));
                co_await caller->readToEnd();
            });
            m_peer.port = peer.port();
            CPPUNIT_ASSERT(!call("key", "greet", Json::Value(Json::objectValue)));
            CPPUNIT_ASSERT(m_why.kind == base::error_kind::peerUnavailable);
            CPPUNIT_ASSERT_MESSAGE(m_why.text, m_why.text.find("does not answer") != std::string::npos && m_why.text.find(status) != std::string::npos);
        }
    }

private:
    std::optional<Json::Value> call(const std::string &key, const std::string &method, const Json::Value &parameters)
    {
        peers::rpc_client client(std::make_shared<message_signer>(membership::signing_keys{key, ""}), m_transport);
        std::optional<Json::Value> result;
        bool done = false;
        auto task = [&]() -> boost::asio::awaitable<void> {
            result = co_await client.call(m_peer, method, parameters, timeout);
            m_why = client.lastReason();
            done = true;
        };
        boost::asio::co_spawn(m_context, task, boost::asio::detached);
        m_context.restart();
        while (!done) {
            m_context.run_one();
        }
        return result;
    }

    boost::asio::io_context m_context;
    std::shared_ptr<greet_method> m_greet;
    std::unique_ptr<peers::rpc_server> m_server;
    std::shared_ptr<net::http_server> m_http;
    std::shared_ptr<net::http_client> m_transport;
    net::address m_peer;
    base::reason m_why;
};

CPPUNIT_TEST_SUITE_REGISTRATION(rpc_test);
