#include "restorable_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

using base::milliseconds;

constexpr milliseconds readInterval{800};

endpoint_change entryOf(const std::string &id, std::int64_t heartbeat)
{
    endpoint_change change;
    change.id = base::endpoint_id(id);
    change.entry.emplace();
    change.entry->id = change.id;
    change.entry->service = base::service_id("chat");
    change.entry->address = {"127.0.0.1", 4000};
    change.entry->zone = base::zone_id("a");
    change.entry->startedAt = 5;
    change.entry->heartbeat = heartbeat;
    return change;
}

struct following_node {
    following_node()
    {
        content.registrations = {entryOf("i-1", 1), entryOf("i-2", 1), entryOf("i-3", 1)};
    }

    void start()
    {
        asio::co_spawn(context, follower.run(), asio::detached);
        time.advance(milliseconds(100));
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::restorable_content content;
    test::restorable_store store{content};
    endpoint_registry registry;
    endpoint_follower follower{store, registry, readInterval, 1};
};

} // namespace

/// Guards against a follower that takes a part of the registrations for all of them.
class endpoint_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_follower_test);
    CPPUNIT_TEST(registrationsMissingInAnIncompleteListStay);
    CPPUNIT_TEST(changesBeyondOneAnswerAreReadAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The node would stop to use servers that are well.
    void registrationsMissingInAnIncompleteListStay()
    {
        following_node node;
        node.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), node.registry.endpoints().size());
        node.content.isDown = true;
        node.time.advance(milliseconds(1'000));
        node.content.registrationsPerAnswer = 1;
        node.content.isDown = false;
        // Beyond the time for which a registration that has lapsed stays in use after an outage.
        node.time.advance(milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), node.registry.endpoints().size());
    }

    /// A node that reads one answer an interval falls behind for ever where more changes than one answer holds.
    void changesBeyondOneAnswerAreReadAtOnce()
    {
        following_node node;
        node.start();
        node.content.registrationsPerAnswer = 1;
        for (int i = 4; i <= 20; ++i) {
            node.content.registrations.push_back(entryOf(std::string("i-").append(std::to_string(i)), 1));
        }
        node.time.advance(readInterval + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), node.registry.endpoints().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_follower_test);
