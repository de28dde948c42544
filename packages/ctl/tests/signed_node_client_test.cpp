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

/// Guards against accepting responses that are not signed with the key, and against reporting a failed call as rejected by the node. The
/// server runs on a separate thread because the client blocks.
class signed_node_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(signed_node_client_test);
    CPPUNIT_TEST(callReturnsResultOrReason);
    CPPUNIT_TEST(wrongKeyIsUnauthorized);
    CPPUNIT_TEST(closedPortIsReportedAsNotReached);
    CPPUNIT_TEST(unresponsiveNodeTimesOut);
    CPPUNIT_TEST(directoryIsReadInPathOrder);
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

    std::optional<Json::Value> call(ctl::signed_node_client &client, const char *name)
    {
        return client.call(m_node, "echo", parameters(name), base::milliseconds(5'000));
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

    void callReturnsResultOrReason()
    {
        ctl::signed_node_client client({"old key", "new key"});
        const auto answer = call(client, "a");
        CPPUNIT_ASSERT_MESSAGE(client.lastReason().text, answer);
        CPPUNIT_ASSERT_EQUAL(std::string("text"), (*answer)["a"].asString());
        CPPUNIT_ASSERT(!call(client, "fail"));
        CPPUNIT_ASSERT(client.lastReason().kind == base::error_kind::configConflict);
        CPPUNIT_ASSERT_EQUAL(std::string("another change was first"), client.lastReason().text);
    }

    void wrongKeyIsUnauthorized()
    {
        ctl::signed_node_client wrongKeyClient({"wrong key", ""});
        CPPUNIT_ASSERT(!call(wrongKeyClient, "a"));
        CPPUNIT_ASSERT(wrongKeyClient.lastReason().kind == base::error_kind::unauthorized);
        // The node accepts the old key but signs with the new one, which this client does not have.
        ctl::signed_node_client oldKeyClient({"old key", ""});
        CPPUNIT_ASSERT(!call(oldKeyClient, "a"));
        CPPUNIT_ASSERT(oldKeyClient.lastReason().kind == base::error_kind::peerUnavailable);
    }

    void closedPortIsReportedAsNotReached()
    {
        // Bound, so that no other socket gets the port, and not listening.
        const boost::asio::ip::tcp::socket reserved(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        m_node.port = reserved.local_endpoint().port();
        ctl::signed_node_client client({"new key", ""});
        CPPUNIT_ASSERT(!call(client, "a"));
        CPPUNIT_ASSERT_MESSAGE(client.lastReason().text, client.lastReason().kind == base::error_kind::endpointRefused);
    }

    void unresponsiveNodeTimesOut()
    {
        boost::asio::ip::tcp::acceptor unresponsive(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        m_node.port = unresponsive.local_endpoint().port();
        ctl::signed_node_client client({"new key", ""});
        CPPUNIT_ASSERT(!client.call(m_node, "echo", parameters("a"), base::milliseconds(100)));
        CPPUNIT_ASSERT(client.lastReason().kind == base::error_kind::peerUnavailable);
    }

    void directoryIsReadInPathOrder()
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
