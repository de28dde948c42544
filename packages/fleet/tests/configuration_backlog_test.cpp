#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

/// Time in which a link of 10 Mbit/s carries a version with 4,000 routes, and the same in base64.
constexpr base::milliseconds recordTime{630};
constexpr base::milliseconds newestTime{840};

/// A store behind a thin link, with one record an answer.
class distant_store : public test::memory_store
{
public:
    using memory_store::memory_store;

    asio::awaitable<std::optional<configuration_page>> newestConfiguration() override
    {
        const configuration_page page = pageOf(versions.empty() ? 0 : versions.size() - 1);
        co_await net::sleepFor(newestTime);
        co_return page;
    }

    asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t position, base::milliseconds wait) override
    {
        const base::time_point until = base::clock::now() + wait;
        const auto offset = static_cast<std::size_t>(position);
        while (offset >= versions.size() && base::clock::now() < until) {
            co_await net::sleepFor(base::milliseconds(10));
        }
        ++readsFromPosition;
        configuration_page page = pageOf(offset);
        if (isRecordTooLong) {
            page.newest.reset();
            page.next = position;
            page.isComplete = page.next == page.end;
        }
        co_await net::sleepFor(page.newest ? recordTime : delay);
        co_return page;
    }

    std::vector<std::int64_t> versions;
    /// While set, answers to reads from a position have no room for a record.
    bool isRecordTooLong = false;
    int readsFromPosition = 0;

private:
    configuration_page pageOf(std::size_t offset) const
    {
        configuration_page page;
        page.end = static_cast<std::int64_t>(versions.size());
        page.next = page.end;
        if (offset < versions.size()) {
            page.newest.emplace().version = versions[offset];
            page.next = static_cast<std::int64_t>(offset) + 1;
        }
        page.isComplete = page.next == page.end;
        return page;
    }
};

struct distant_node {
    distant_node()
    {
        store.versions = {1};
        asio::co_spawn(context, follower.run(), asio::detached);
        time.advance(base::milliseconds(2'000));
    }

    /// Publishes versions faster than the link carries them.
    void publishSeries(bool isShownByHolder)
    {
        constexpr int count = 12;
        constexpr base::milliseconds interval{250};
        for (int i = 0; i < count; ++i) {
            store.versions.push_back(store.versions.back() + 1);
            if (isShownByHolder) {
                follower.noteHolderPosition(static_cast<std::int64_t>(store.versions.size()), base::clock::now());
            }
            time.advance(interval);
        }
    }

    test::store_content content;
    asio::io_context context;
    fakes::virtual_time time{context};
    distant_store store{content};
    configuration_follower follower{store, 1};
};

} // namespace

/// Guards against a node that reads each of the versions that it has missed, and so falls behind further with each one.
class configuration_backlog_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_backlog_test);
    CPPUNIT_TEST(newestOfManyVersionsIsInForceWithinTheBound);
    CPPUNIT_TEST(lastOfAFewVersionsIsReadAsItIs);
    CPPUNIT_TEST(recordThatNoAnswerHasRoomForIsReadAsTheNewest);
    CPPUNIT_TEST_SUITE_END();

public:
    void newestOfManyVersionsIsInForceWithinTheBound()
    {
        constexpr base::milliseconds propagationBound{2'000};
        for (const bool isHolder : {false, true}) {
            distant_node node;
            node.follower.setHolder(isHolder);
            node.publishSeries(!isHolder);
            node.time.advance(propagationBound);
            CPPUNIT_ASSERT_EQUAL(node.store.versions.back(), node.follower.current()->version);
        }
    }

    /// The newest records are a third longer, so a node that lacks a single one reads that.
    void lastOfAFewVersionsIsReadAsItIs()
    {
        distant_node node;
        for (int i = 0; i < 3; ++i) {
            node.store.versions.push_back(node.store.versions.back() + 1);
            node.follower.noteHolderPosition(static_cast<std::int64_t>(node.store.versions.size()), base::clock::now());
            node.time.advance(recordTime + base::milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(node.store.versions.back(), node.follower.current()->version);
        }
    }

    /// Failure: a node would read the same empty answer for ever, without a pause.
    void recordThatNoAnswerHasRoomForIsReadAsTheNewest()
    {
        distant_node node;
        node.store.isRecordTooLong = true;
        node.store.readsFromPosition = 0;
        for (int i = 0; i < 3; ++i) {
            node.store.versions.push_back(node.store.versions.back() + 1);
            node.follower.noteHolderPosition(static_cast<std::int64_t>(node.store.versions.size()), base::clock::now());
            node.time.advance(base::milliseconds(2'000));
            CPPUNIT_ASSERT_EQUAL(node.store.versions.back(), node.follower.current()->version);
        }
        CPPUNIT_ASSERT(node.store.readsFromPosition <= 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_backlog_test);
