#include <chervilbend/ctl/key_file.hpp>
#include <chervilbend/ctl/service_directory.hpp>
#include <chervilbend/ctl/signed_node_client.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/peers/rpc_server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace chervilbend;
using membership::message_signer;

namespace
{

class echo_method : public peers::rpc_method
{
public:
    std::string name() const override
    {
        return "echo";
    }

    std::optional<Json::Value> call(const Json::Value &parameters) override
    {
        if (parameters.isMember("fail")) {
            return fail(base::error_kind::configConflict, "another change was first");
        }
        return parameters;
    }
};

} // namespace

/// Guards against answers that are taken from somebody without the key, and against calls whose failure is mistaken for a refusal. The
/// server runs on a thread of its own, because the caller blocks.
class signed_node_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(signed_node_client_test);
    CPPUNIT_TEST(callsAndKeepsReasons);
    CPPUNIT_TEST(wrongKeyIsToldApart);
    CPPUNIT_TEST(closedPortIsCertainlyNotReached);
    CPPUNIT_TEST(silentNodeEndsByTimeout);
    CPPUNIT_TEST(directoryIsSearchedInOrder);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;
    std::unique_ptr<peers::rpc_server> m_server;
    std::shared_ptr<net::http_server> m_http;
    net::address m_node;
    std::thread m_thread;

    static Json::Value parameters(const char *name)
    {
        Json::Value json(Json::objectValue);
        json[name] = "text";
        return json;
    }

    std::optional<Json::Value> call(ctl::signed_node_client &caller, const char *name)
    {
        return caller.call(m_node, "echo", parameters(name), base::milliseconds(5'000));
    }

public:
    void setUp() override
    {
        m_server = std::make_unique<peers::rpc_server>(std::make_shared<message_signer>(membership::signing_keys{"new key", "old key"}));
        m_server->add(std::make_shared<echo_method>());
        m_http = std::make_shared<net::http_server>(m_context.get_executor(), *m_server);
        m_node = {"127.0.0.1", m_http->listen({"127.0.0.1", 0}).value()};
        m_thread = std::thread([this] {
            const auto guard = boost::asio::make_work_guard(m_context);
            m_context.run();
        });
    }

    void tearDown() override
    {
        m_context.stop();
        m_thread.join();
        m_http->closeAll();
        m_context.restart();
        m_context.poll();
        m_http.reset();
    }

    void callsAndKeepsReasons()
    {
        ctl::signed_node_client caller({"old key", "new key"});
        const auto answer = call(caller, "a");
        CPPUNIT_ASSERT_MESSAGE(caller.lastReason().text, answer);
        CPPUNIT_ASSERT_EQUAL(std::string("text"), (*answer)["a"].asString());
        CPPUNIT_ASSERT(!call(caller, "fail"));
        CPPUNIT_ASSERT(caller.lastReason().kind == base::error_kind::configConflict);
        CPPUNIT_ASSERT_EQUAL(std::string("another change was first"), caller.lastReason().text);
    }

    void wrongKeyIsToldApart()
    {
        ctl::signed_node_client stranger({"wrong key", ""});
        CPPUNIT_ASSERT(!call(stranger, "a"));
        CPPUNIT_ASSERT(stranger.lastReason().kind == base::error_kind::unauthorized);
        // The node takes the old key but signs with the new one, which this caller does not know.
        ctl::signed_node_client outdated({"old key", ""});
        CPPUNIT_ASSERT(!call(outdated, "a"));
        CPPUNIT_ASSERT(outdated.lastReason().kind == base::error_kind::peerUnavailable);
    }

    void closedPortIsCertainlyNotReached()
    {
        boost::asio::ip::tcp::acceptor unused(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        m_node.port = unused.local_endpoint().port();
        unused.close();
        ctl::signed_node_client caller({"new key", ""});
        CPPUNIT_ASSERT(!call(caller, "a"));
        CPPUNIT_ASSERT(caller.lastReason().kind == base::error_kind::endpointRefused);
    }

    void silentNodeEndsByTimeout()
    {
        boost::asio::ip::tcp::acceptor silent(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        m_node.port = silent.local_endpoint().port();
        ctl::signed_node_client caller({"new key", ""});
        CPPUNIT_ASSERT(!caller.call(m_node, "echo", parameters("a"), base::milliseconds(100)));
        CPPUNIT_ASSERT(caller.lastReason().kind == base::error_kind::peerUnavailable);
    }

    void directoryIsSearchedInOrder()
    {
        const config::service_set set = ctl::readServiceDirectory(std::string(TEST_DATA_DIR) + "/services");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(set.faults.empty() ? "" : toString(set.faults[0]), std::size_t{0}, set.faults.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, set.files);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, set.declarations.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, set.declarations[1].models.at(0).adapters.size());
        CPPUNIT_ASSERT(ctl::readServiceDirectory("/nonexistent").faults.size() == 1);
        CPPUNIT_ASSERT(!ctl::key_file(std::string(TEST_DATA_DIR) + "/none").read());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(signed_node_client_test);
