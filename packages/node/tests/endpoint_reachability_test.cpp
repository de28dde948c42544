#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/callers/endpoint_reachability.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace chervilbend;
using namespace chervilbend::node;
using base::milliseconds;
namespace asio = boost::asio;

namespace
{

/// A node whose links to the endpoints can be cut.
struct probing_node {
    probing_node()
    {
        reachability.onChange([this] { ++changes; });
        asio::co_spawn(context, reachability.run(), asio::detached);
    }

    asio::awaitable<std::optional<bool>> probe(std::size_t endpoints)
    {
        probes += static_cast<int>(endpoints);
        if (!knowsEndpoints) {
            co_return std::nullopt;
        }
        co_await net::sleepFor(isCut ? milliseconds(300) : milliseconds(2));
        co_return !isCut;
    }

    bool isCut = false;
    bool knowsEndpoints = true;
    int probes = 0;
    int changes = 0;
    asio::io_context context;
    fakes::virtual_time time{context};
    endpoint_reachability reachability{[this](std::size_t endpoints) {
        return probe(endpoints);
    }};
};

const base::endpoint_id e1("e1");
const base::endpoint_id e2("e2");

} // namespace

/// Guards against a node that keeps its callers waiting for endpoints which it cannot reach, and against one that believes so because of a few endpoints.
class endpoint_reachability_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_reachability_test);
    CPPUNIT_TEST(hangingConnectionsAreNoticedWithinASecond);
    CPPUNIT_TEST(refusedConnectionsAreNoticedWhileOldOnesLiveOn);
    CPPUNIT_TEST(silentEndpointIsNoLostLink);
    CPPUNIT_TEST(falseSuspicionsAreBounded);
    CPPUNIT_TEST(idleNodeDoesNotProbe);
    CPPUNIT_TEST(recoveryNeedsTwoSuccesses);
    CPPUNIT_TEST(nodeWithoutEndpointsIsNotStranded);
    CPPUNIT_TEST_SUITE_END();

public:
    void hangingConnectionsAreNoticedWithinASecond()
    {
        probing_node node;
        node.isCut = true;
        node.reachability.noteWaiting();
        node.time.advance(milliseconds(1'000));
        CPPUNIT_ASSERT(node.reachability.isStranded());
        CPPUNIT_ASSERT_EQUAL(1, node.changes);
    }

    void refusedConnectionsAreNoticedWhileOldOnesLiveOn()
    {
        probing_node node;
        node.isCut = true;
        node.reachability.noteConnectFailure(e1);
        node.reachability.noteReceived();
        node.time.advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one endpoint may be down", 0, node.probes);
        node.reachability.noteConnectFailure(e2);
        node.reachability.noteReceived();
        node.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(node.reachability.isStranded());
    }

    void silentEndpointIsNoLostLink()
    {
        probing_node node;
        node.reachability.noteWaiting();
        node.reachability.noteConnectFailure(e1);
        node.reachability.noteConnectFailure(e2);
        node.time.advance(milliseconds(1'500));
        CPPUNIT_ASSERT(!node.reachability.isStranded());
        CPPUNIT_ASSERT(node.probes > 0);
    }

    void falseSuspicionsAreBounded()
    {
        probing_node node;
        for (int i = 0; i < 100; ++i) {
            node.reachability.noteWaiting();
            node.time.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT_MESSAGE("five connections a second at most", node.probes <= 50);
        CPPUNIT_ASSERT_EQUAL(0, node.changes);
    }

    void idleNodeDoesNotProbe()
    {
        probing_node node;
        node.reachability.noteWaiting();
        node.reachability.noteReceived();
        node.time.advance(milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(0, node.probes);
    }

    void recoveryNeedsTwoSuccesses()
    {
        probing_node node;
        node.isCut = true;
        node.reachability.noteWaiting();
        node.time.advance(milliseconds(3'000));
        CPPUNIT_ASSERT(node.reachability.isStranded());
        node.isCut = false;
        node.time.advance(milliseconds(1'000));
        CPPUNIT_ASSERT(!node.reachability.isStranded());
        CPPUNIT_ASSERT_EQUAL(2, node.changes);
        const int probes = node.probes;
        node.time.advance(milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(probes, node.probes);
    }

    void nodeWithoutEndpointsIsNotStranded()
    {
        probing_node node;
        node.knowsEndpoints = false;
        node.reachability.noteWaiting();
        node.time.advance(milliseconds(5'000));
        CPPUNIT_ASSERT(!node.reachability.isStranded());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_reachability_test);
