#include "registrations.hpp"
#include "restorable_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/store_update.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <optional>
#include <string>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

using base::milliseconds;
using test::entryOf;

constexpr milliseconds readInterval{800};

/// A store whose answers to reads of changes end before the topic does and have no record, as when the next one is larger than an answer may be.
class stuck_store : public test::restorable_store
{
public:
    using restorable_store::restorable_store;

    asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t position) override
    {
        ++reads;
        co_await net::sleepFor(milliseconds(4));
        endpoint_page page;
        page.next = position;
        page.isComplete = false;
        co_return page;
    }

    int reads = 0;
};

/// Counts reads of the list of all registrations.
class counting_store : public test::restorable_store
{
public:
    using restorable_store::restorable_store;

    asio::awaitable<std::optional<endpoint_page>> allEndpoints() override
    {
        ++lists;
        co_return co_await restorable_store::allEndpoints();
    }

    int lists = 0;
};

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
    CPPUNIT_TEST(removalsBeforeAnIncompleteListAreSeen);
    CPPUNIT_TEST(answerWithoutProgressIsNotAskedForAgainAtOnce);
    CPPUNIT_TEST(incompleteListDoesNotMakeEachReadAListOfAll);
    CPPUNIT_TEST(changesAfterAnIncompleteListDoNotConfirmIt);
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

    /// The position of an incomplete list lies behind changes that the list does not show, so a server that is gone would stay in use for ever.
    void removalsBeforeAnIncompleteListAreSeen()
    {
        following_node node;
        node.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), node.registry.endpoints().size());
        node.content.isDown = true;
        node.time.advance(milliseconds(1'000));
        node.content.registrationsPerAnswer = 1;
        endpoint_change removal;
        removal.id = base::endpoint_id("i-2");
        node.content.registrations.push_back(removal);
        node.content.isDown = false;
        // Far beyond the time for which a registration that has lapsed stays in use after an outage.
        node.time.advance(milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), node.registry.endpoints().size());
    }

    /// All nodes would call the store without a pause, and use up the reads that it allows.
    void answerWithoutProgressIsNotAskedForAgainAtOnce()
    {
        asio::io_context context;
        fakes::virtual_time time{context};
        test::restorable_content content;
        content.registrations = {entryOf("i-1", 1)};
        stuck_store store{content};
        endpoint_registry registry;
        endpoint_follower follower{store, registry, readInterval, 1};
        asio::co_spawn(context, follower.run(), asio::detached);
        time.advance(10 * readInterval);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(store.reads) + " reads in 10 intervals", store.reads <= 20);
    }

    /// Once the holder is gone, each node would read the list of all registrations in each interval, and none could relay them.
    void incompleteListDoesNotMakeEachReadAListOfAll()
    {
        asio::io_context context;
        fakes::virtual_time time{context};
        test::restorable_content content;
        content.registrations = {entryOf("i-1", 1), entryOf("i-2", 1)};
        content.registrationsPerAnswer = 1;
        counting_store store{content};
        endpoint_registry registry;
        endpoint_follower follower{store, registry, readInterval, 1};
        store_update update;
        update.registrationsPosition = 2;
        update.isSnapshot = true;
        update.registrations = content.registrations;
        CPPUNIT_ASSERT(follower.applyRelayed(update, read_time::now()));
        asio::co_spawn(context, follower.run(), asio::detached);
        time.advance(20 * readInterval);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(store.lists) + " lists in 20 intervals", store.lists <= 10);
        CPPUNIT_ASSERT_MESSAGE("what this node has read may not be relayed", !registry.isRelayed());
    }

    /// A list that lacks servers would count as read, and the node as ready, with the next look for changes.
    void changesAfterAnIncompleteListDoNotConfirmIt()
    {
        following_node node;
        node.content.registrationsPerAnswer = 1;
        bool isRead = false;
        node.follower.onFirstRead([&] { isRead = true; });
        node.start();
        node.time.advance(2 * readInterval);
        CPPUNIT_ASSERT_MESSAGE("one of three servers is known", node.registry.endpoints().size() == 3 || !isRead);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_follower_test);
