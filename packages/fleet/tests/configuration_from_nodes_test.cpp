#include "restorable_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/configuration_read_json.hpp>
#include <chervilbend/fleet/configuration_read_method.hpp>
#include <chervilbend/fleet/holder_configuration_provider.hpp>
#include <chervilbend/peers/rpc_caller.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

constexpr double linkMegabits = 10;
constexpr base::milliseconds exchangeInterval{250};
/// A call takes 4 ms, and virtual time advances in steps of 10 ms.
constexpr base::milliseconds callTime{20};

/// Calls the method of one other node, or returns a given answer.
class direct_caller : public peers::rpc_caller
{
public:
    explicit direct_caller(peers::rpc_method &method)
        : m_method(method)
    {
    }

    asio::awaitable<std::optional<Json::Value>> call(net::address /*peer*/, std::string method, Json::Value parameters, base::milliseconds /*timeout*/) override
    {
        ++calls;
        co_await net::sleepFor(base::milliseconds(4));
        if (isRefused || method != m_method.name()) {
            co_return fail(base::error_kind::peerUnavailable, "unknown method");
        }
        co_return answer ? answer : m_method.call(parameters);
    }

    int calls = 0;
    /// As a node of an older build answers.
    bool isRefused = false;
    std::optional<Json::Value> answer;

private:
    peers::rpc_method &m_method;
};

/// A lease holder that reads the store, and a node that is cut off from it.
struct node_pair {
    explicit node_pair(bool hasConfiguration = true)
    {
        holder.setHolder(true);
        node.onTakenFromNode([this] { ++taken; });
        lease_record record;
        record.holder = base::node_id("holder");
        record.peerAddress = "127.0.0.1:1";
        lease.noteHolder(record, 1, base::milliseconds(0));
        atHolder.versions = atNode.versions = {3};
        atNode.isDown = !hasConfiguration;
        asio::co_spawn(context, holder.run(), asio::detached);
        asio::co_spawn(context, node.run(), asio::detached);
        asio::co_spawn(context, node.followNodes(provider), asio::detached);
        time.advance(base::milliseconds(1'000));
        atNode.isDown = true;
        time.advance(base::milliseconds(5'000));
    }

    /// What the answer to an exchange tells the node of the holder.
    void exchange()
    {
        node.noteHolderPosition(*holder.position(), holder.confirmedAt());
    }

    /// Publishes a version, which the holder reads and the node learns of.
    void publish(std::int64_t version)
    {
        atHolder.versions.push_back(version);
        atNode.versions.push_back(version);
        time.advance(callTime);
        exchange();
    }

    std::int64_t version() const
    {
        return node.current() ? node.current()->version : 0;
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    /// The store as each of the nodes sees it.
    test::restorable_content atHolder;
    test::restorable_content atNode;
    test::restorable_store holderStore{atHolder};
    test::restorable_store nodeStore{atNode};
    configuration_follower holder{holderStore, 1};
    configuration_follower node{nodeStore, 2};
    configuration_read_method method{base::node_id("holder"), holder, linkMegabits};
    direct_caller caller{method};
    command_lease lease{nodeStore, command_lease_options{.node = base::node_id("n-2"), .peerAddress = "127.0.0.1:2"}};
    holder_configuration_provider provider{base::node_id("n-2"), lease, caller};
    int taken = 0;
};

} // namespace

/// Guards against a node that keeps an old configuration because its own reads of the store fail, and against one that takes a wrong one from another
/// node.
class configuration_from_nodes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_from_nodes_test);
    CPPUNIT_TEST(newVersionIsTakenWithinOneExchangeAndOneCall);
    CPPUNIT_TEST(nodeWithoutConfigurationStartsFromTheHolders);
    CPPUNIT_TEST(nodeThatReadsTheStoreAsksNobody);
    CPPUNIT_TEST(readingGoesOnFromTheTakenPosition);
    CPPUNIT_TEST(olderOrInvalidAnswerChangesNothing);
    CPPUNIT_TEST(refusingHolderIsNotAskedInATightLoop);
    CPPUNIT_TEST(onlyANewerVersionIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void newVersionIsTakenWithinOneExchangeAndOneCall()
    {
        node_pair nodes;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the holder has shown nothing newer yet", 0, nodes.caller.calls);
        nodes.publish(9);
        nodes.time.advance(callTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), nodes.version());
        nodes.time.advance(exchangeInterval - 2 * callTime);
        nodes.publish(10);
        nodes.time.advance(callTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), nodes.version());
        CPPUNIT_ASSERT_EQUAL(2, nodes.taken);
        CPPUNIT_ASSERT(nodes.node.position() == nodes.holder.position());
        CPPUNIT_ASSERT_MESSAGE("no later than the store's confirmation", nodes.node.confirmedAt() <= nodes.holder.confirmedAt());
        CPPUNIT_ASSERT(base::clock::now() - nodes.node.confirmedAt() < base::milliseconds(1'000));
    }

    void nodeWithoutConfigurationStartsFromTheHolders()
    {
        const node_pair nodes(false);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), nodes.version());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), nodes.node.record());
        CPPUNIT_ASSERT_EQUAL(1, nodes.caller.calls);
    }

    void nodeThatReadsTheStoreAsksNobody()
    {
        node_pair nodes;
        nodes.atNode.isDown = false;
        nodes.time.advance(base::milliseconds(3'000));
        for (std::int64_t version = 4; version < 12; ++version) {
            nodes.publish(version);
            nodes.time.advance(base::milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(version, nodes.version());
        }
        CPPUNIT_ASSERT_EQUAL(0, nodes.caller.calls);
    }

    void readingGoesOnFromTheTakenPosition()
    {
        node_pair nodes;
        nodes.publish(9);
        nodes.time.advance(callTime);
        nodes.atNode.isDown = false;
        nodes.time.advance(base::milliseconds(5'000));
        const int calls = nodes.caller.calls;
        nodes.atNode.versions.push_back(10);
        nodes.time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), nodes.version());
        CPPUNIT_ASSERT_EQUAL(calls, nodes.caller.calls);
        CPPUNIT_ASSERT_EQUAL(1, nodes.taken);
    }

    void olderOrInvalidAnswerChangesNothing()
    {
        node_pair nodes;
        const Json::Value valid = toJson(remote_configuration{base::node_id("holder"), "9", 9, 8, base::milliseconds(0)});
        const base::time_point confirmedAt = nodes.node.confirmedAt();
        std::vector<Json::Value> invalid(6, valid);
        invalid.push_back(toJson(remote_configuration{base::node_id("holder"), "2", 2, 8, base::milliseconds(0)}));
        invalid[0]["record"] = "not a number";
        invalid[1]["version"] = 11;
        invalid[2]["ageMs"] = -1;
        invalid[3]["position"] = "8";
        invalid[4].removeMember("record");
        invalid[5] = Json::Value("text");
        for (const Json::Value &answer : invalid) {
            nodes.caller.answer = answer;
            nodes.publish(nodes.atHolder.versions.back() + 1);
            const int calls = nodes.caller.calls;
            nodes.time.advance(base::milliseconds(2'000));
            CPPUNIT_ASSERT(nodes.caller.calls > calls);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(3), nodes.version());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1), nodes.node.position().value());
            CPPUNIT_ASSERT(confirmedAt == nodes.node.confirmedAt());
        }
        nodes.caller.answer = valid;
        nodes.time.advance(base::milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), nodes.version());
    }

    /// A node of an older build, or one whose link is broken, refuses each call at once.
    void refusingHolderIsNotAskedInATightLoop()
    {
        node_pair nodes;
        nodes.caller.isRefused = true;
        nodes.publish(9);
        nodes.time.advance(base::milliseconds(3'000));
        const int before = nodes.caller.calls;
        for (int ms = 0; ms < 10'000; ms += static_cast<int>(exchangeInterval.count())) {
            nodes.exchange();
            nodes.time.advance(exchangeInterval);
        }
        CPPUNIT_ASSERT(nodes.caller.calls > before);
        CPPUNIT_ASSERT_MESSAGE("at most one call in 400 ms", nodes.caller.calls - before <= 25);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), nodes.version());
    }

    void onlyANewerVersionIsAnswered()
    {
        node_pair nodes;
        CPPUNIT_ASSERT(!nodes.method.call(toJson(configuration_request{base::node_id("n-2"), 3})));
        CPPUNIT_ASSERT(nodes.method.lastReason().kind == base::error_kind::peerUnavailable);
        CPPUNIT_ASSERT(!nodes.method.call(Json::Value("text")));
        CPPUNIT_ASSERT(nodes.method.lastReason().kind == base::error_kind::badRequest);
        const std::optional<Json::Value> json = nodes.method.call(toJson(configuration_request{base::node_id("n-2"), 2}));
        const std::optional<remote_configuration> answer = json ? readRemoteConfiguration(*json) : std::nullopt;
        CPPUNIT_ASSERT(answer);
        const base::milliseconds age = base::clock::now() - nodes.holder.confirmedAt();
        CPPUNIT_ASSERT(*answer == (remote_configuration{base::node_id("holder"), "3", 3, 1, age}));
        CPPUNIT_ASSERT_MESSAGE("not twice at once", !nodes.method.call(toJson(configuration_request{base::node_id("n-2"), 2})));
        CPPUNIT_ASSERT(nodes.method.lastReason().kind == base::error_kind::overloaded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_from_nodes_test);
