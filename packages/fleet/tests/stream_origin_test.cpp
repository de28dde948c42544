#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/published_versions.hpp>
#include <chervilbend/fleet/recorded_stream_origins.hpp>
#include <chervilbend/fleet/stream_store.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
using base::milliseconds;
namespace asio = boost::asio;

namespace
{

const base::service_id chat("chat");
const base::software_version v1("v1");
const base::software_version v2("v2");

struct stream_content {
    published_page published;
    std::vector<stream_origin> origins;
    /// Position of the first record that is retained.
    std::int64_t firstOrigin = 0;
    int calls = 0;
    int publications = 0;
    bool isDown = false;
    bool refusesWrites = false;
};

class memory_stream_store : public stream_store
{
public:
    explicit memory_stream_store(stream_content &shared)
        : m_content(shared)
    {
    }

    std::int64_t restorations() const override
    {
        return m_content.published.restorations;
    }

    asio::awaitable<std::optional<published_page>> publishedVersions() override
    {
        const bool isAnswered = co_await answer();
        co_return isAnswered ? std::optional(m_content.published) : std::nullopt;
    }

    asio::awaitable<lease_write_status> publishVersions(version_table versions, std::int64_t expected) override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered || m_content.refusesWrites) {
            co_return lease_write_status::refused;
        }
        if (expected != m_content.published.end) {
            co_return lease_write_status::conflict;
        }
        ++m_content.publications;
        ++m_content.published.end;
        m_content.published.versions = std::move(versions);
        co_return lease_write_status::written;
    }

    asio::awaitable<bool> appendOrigins(std::vector<stream_origin> origins) override
    {
        const bool isAnswered = co_await answer();
        if (isAnswered) {
            m_content.origins.insert(m_content.origins.end(), origins.begin(), origins.end());
        }
        co_return isAnswered;
    }

    asio::awaitable<std::optional<origin_page>> originsFrom(std::int64_t position, milliseconds wait) override
    {
        const bool isAnswered = co_await answer();
        if (!isAnswered) {
            co_return std::nullopt;
        }
        const base::time_point until = base::clock::now() + wait;
        const auto end = [this] {
            return static_cast<std::int64_t>(m_content.origins.size());
        };
        while (position >= end() && base::clock::now() < until) {
            co_await net::sleepFor(milliseconds(10));
        }
        origin_page page;
        const std::int64_t first = std::max(position, m_content.firstOrigin);
        page.origins.assign(m_content.origins.begin() + static_cast<std::ptrdiff_t>(std::min(first, end())), m_content.origins.end());
        page.next = page.end = end();
        co_return page;
    }

private:
    asio::awaitable<bool> answer()
    {
        ++m_content.calls;
        co_await net::sleepFor(milliseconds(4));
        if (m_content.isDown) {
            fail(base::error_kind::logUnavailable, "down");
        }
        co_return !m_content.isDown;
    }

    stream_content &m_content;
};

endpoint_entry entryOf(const std::string &id, const base::software_version &version, std::int64_t heartbeat = 1)
{
    endpoint_entry entry;
    entry.id = base::endpoint_id(id);
    entry.service = chat;
    entry.address = {"127.0.0.1", 4000};
    entry.softwareVersion = version;
    entry.startedAt = 5;
    entry.heartbeat = heartbeat;
    return entry;
}

/// One process of a node. It is never destroyed before the event loop, like a node's components.
struct test_node {
    test_node(asio::io_context &context, stream_content &content, std::uint64_t seed)
        : store(content)
        , versions(store, registry, seed)
        , origins(store, versions)
    {
        versions.onChange([this] { origins.versionsChanged(); });
        asio::co_spawn(context, versions.run(), asio::detached);
        asio::co_spawn(context, origins.run(), asio::detached);
    }

    void read(const std::vector<endpoint_entry> &entries)
    {
        std::vector<endpoint_change> changes;
        changes.reserve(entries.size());
        for (const endpoint_entry &entry : entries) {
            changes.push_back({entry.id, entry});
        }
        registry.replace(changes, base::clock::now());
        versions.endpointsChanged();
    }

    memory_stream_store store;
    endpoint_registry registry;
    published_versions versions;
    recorded_stream_origins origins;
};

struct stream_cluster {
    test_node &start()
    {
        nodes.push_back(std::make_unique<test_node>(context, content, nodes.size() + 1));
        return *nodes.back();
    }

    /// The store comes back from an older copy of itself.
    void restore(const published_page &copy)
    {
        content.published.versions = copy.versions;
        ++content.published.restorations;
        content.published.end = content.published.restorations * 1'000'000;
    }

    origin_lookup find(test_node &node, std::optional<std::uint64_t> stream)
    {
        std::optional<origin_lookup> result;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> { result = co_await node.origins.find(chat, stream, base::clock::now() + milliseconds(1'000)); },
            asio::detached);
        const base::time_point startedAt = base::clock::now();
        while (!result && base::clock::now() - startedAt < milliseconds(2'000)) {
            time.advance(milliseconds(10));
        }
        CPPUNIT_ASSERT_MESSAGE("the lookup must end", result);
        lookupTime = base::clock::now() - startedAt;
        return *result;
    }

    stream_content content;
    asio::io_context context;
    fakes::virtual_time time{context};
    std::vector<std::unique_ptr<test_node>> nodes;
    milliseconds lookupTime{0};
};

} // namespace

/// Guards against a node that guesses which software version began a stream, and against one that refuses although it can know.
class stream_origin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_origin_test);
    CPPUNIT_TEST(singleVersionIsKnownEverywhere);
    CPPUNIT_TEST(singleVersionCostsNoRecords);
    CPPUNIT_TEST(newVersionIsNotUsedBeforeItIsPublished);
    CPPUNIT_TEST(versionIsPublishedOnce);
    CPPUNIT_TEST(nodeWithOldRegistrationsDoesNotGuess);
    CPPUNIT_TEST(recordOutlivesAllNodes);
    CPPUNIT_TEST(versionThatLeftWhileAllNodesWereDownIsRemembered);
    CPPUNIT_TEST(streamsOfTheFirstVersionAreRecordedWhenTheSecondComes);
    CPPUNIT_TEST(streamWithoutRecordIsRefusedSoon);
    CPPUNIT_TEST(brokenStreamIsRecordedAtOnce);
    CPPUNIT_TEST(silentStoreIsNoKnowledge);
    CPPUNIT_TEST(unnamedStreamIsKnownOnlyWithASingleVersion);
    CPPUNIT_TEST(recordsOfLongStreamsAreRenewed);
    CPPUNIT_TEST(versionIsWithdrawnLongAfterItsLastEndpoint);
    CPPUNIT_TEST(olderCopyOfTheStoreLosesNoVersion);
    CPPUNIT_TEST(versionThatTheStoreHasLostIsNotForgotten);
    CPPUNIT_TEST(versionThatIsUsedUnpublishedIsCounted);
    CPPUNIT_TEST(nodeThatStoodStillDoesNotTrustItsRegistrations);
    CPPUNIT_TEST(olderAnswerOfTheStoreIsNoKnowledge);
    CPPUNIT_TEST(recordsAreRepeatedWhenTheStoreHasLostThem);
    CPPUNIT_TEST(endpointsAreUsedWhenPublicationFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void singleVersionIsKnownEverywhere()
    {
        stream_cluster cluster;
        cluster.start().read({entryOf("i-1", v1), entryOf("i-2", v1)});
        cluster.time.advance(milliseconds(500));
        const origin_lookup found = cluster.find(cluster.start(), 77);
        CPPUNIT_ASSERT(found.version == v1 && found.source == origin_source::singleVersion);
    }

    void singleVersionCostsNoRecords()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        const int calls = cluster.content.calls;
        node.origins.noteBegun({77, chat, v1});
        node.origins.noteEnded(77, false);
        cluster.time.advance(milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(calls, cluster.content.calls);
    }

    void newVersionIsNotUsedBeforeItIsPublished()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(node.versions.isUsable(entryOf("i-1", v1)));
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        CPPUNIT_ASSERT(!node.versions.isUsable(entryOf("i-2", v2)));
        cluster.time.advance(milliseconds(300));
        CPPUNIT_ASSERT(node.versions.isUsable(entryOf("i-2", v2)) && cluster.content.published.versions[chat].contains(v2));
    }

    void versionIsPublishedOnce()
    {
        stream_cluster cluster;
        for (int i = 0; i < 6; ++i) {
            cluster.start().read({entryOf("i-1", v1)});
        }
        cluster.time.advance(milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(1, cluster.content.publications);
        for (const auto &node : cluster.nodes) {
            CPPUNIT_ASSERT(node->versions.isUsable(entryOf("i-1", v1)));
        }
    }

    /// The second node has not read of the new version yet.
    void nodeWithOldRegistrationsDoesNotGuess()
    {
        stream_cluster cluster;
        test_node &first = cluster.start();
        test_node &second = cluster.start();
        first.read({entryOf("i-1", v1)});
        second.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        first.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(300));
        first.origins.noteBegun({77, chat, v2});
        cluster.time.advance(milliseconds(400));
        CPPUNIT_ASSERT(cluster.find(second, 77).version == v2);
        CPPUNIT_ASSERT(cluster.find(second, 78).version.empty());
    }

    void recordOutlivesAllNodes()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        node.origins.noteBegun({77, chat, v1});
        node.origins.noteBegun({78, chat, v2});
        cluster.time.advance(milliseconds(400));
        test_node &restarted = cluster.start();
        CPPUNIT_ASSERT(cluster.find(restarted, 77).version == v1);
        CPPUNIT_ASSERT(cluster.find(restarted, 78).version == v2);
        CPPUNIT_ASSERT_MESSAGE("records that were read need no further one", cluster.lookupTime <= milliseconds(20));
    }

    /// The restarted node's registrations show one version, but another one began the stream.
    void versionThatLeftWhileAllNodesWereDownIsRemembered()
    {
        stream_cluster cluster;
        cluster.start().read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        test_node &restarted = cluster.start();
        restarted.read({entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(cluster.find(restarted, 77).version.empty());
    }

    void streamsOfTheFirstVersionAreRecordedWhenTheSecondComes()
    {
        stream_cluster cluster;
        test_node &first = cluster.start();
        first.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        first.origins.noteBegun({77, chat, v1});
        first.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(700));
        CPPUNIT_ASSERT(cluster.find(cluster.start(), 77).version == v1);
    }

    void streamWithoutRecordIsRefusedSoon()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        const origin_lookup unknown = cluster.find(node, 77);
        CPPUNIT_ASSERT(unknown.version.empty() && unknown.why.kind == base::error_kind::notResumable);
        CPPUNIT_ASSERT(cluster.lookupTime <= milliseconds(450));
    }

    /// Its caller is at another node sooner than the next regular record.
    void brokenStreamIsRecordedAtOnce()
    {
        stream_cluster cluster;
        test_node &first = cluster.start();
        test_node &second = cluster.start();
        first.origins.setNodeCount(300);
        first.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(4'000));
        first.origins.noteBegun({76, chat, v1});
        cluster.time.advance(milliseconds(50));
        first.origins.noteBegun({77, chat, v1});
        cluster.time.advance(milliseconds(50));
        first.origins.noteEnded(77, false);
        CPPUNIT_ASSERT(cluster.find(second, 77).version == v1);
    }

    void silentStoreIsNoKnowledge()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        node.origins.noteBegun({78, chat, v1});
        cluster.content.isDown = true;
        const origin_lookup unknown = cluster.find(node, 77);
        CPPUNIT_ASSERT_MESSAGE("asking again can help", unknown.version.empty() && unknown.why.kind == base::error_kind::noEndpoint);
        CPPUNIT_ASSERT_MESSAGE("its own streams a node knows without the store", cluster.find(node, 78).version == v1);
    }

    void unnamedStreamIsKnownOnlyWithASingleVersion()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(cluster.find(node, std::nullopt).version == v1);
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(cluster.find(node, std::nullopt).version.empty());
    }

    void recordsOfLongStreamsAreRenewed()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        node.origins.noteBegun({77, chat, v1});
        cluster.time.advance(milliseconds(1'000));
        cluster.content.firstOrigin = static_cast<std::int64_t>(cluster.content.origins.size());
        cluster.time.advance(milliseconds(9'000));
        CPPUNIT_ASSERT(cluster.find(cluster.start(), 77).version == v1);
    }

    void versionIsWithdrawnLongAfterItsLastEndpoint()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.versions.setHolder(true);
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        node.read({entryOf("i-2", v2)});
        cluster.time.advance(published_versions::withdrawalDelay - milliseconds(2'000));
        CPPUNIT_ASSERT(node.versions.isMixed(chat));
        cluster.time.advance(milliseconds(4'000));
        CPPUNIT_ASSERT(cluster.content.published.versions[chat] == std::set<base::software_version>{v2});
        CPPUNIT_ASSERT(!node.versions.isMixed(chat));
    }

    void olderCopyOfTheStoreLosesNoVersion()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        const published_page copy = cluster.content.published;
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        cluster.restore(copy);
        // The registrations came back from the older copy, too.
        node.read({entryOf("i-1", v1)});
        cluster.find(node, 77);
        cluster.time.advance(milliseconds(1'500));
        CPPUNIT_ASSERT(cluster.content.published.versions[chat] == (std::set<base::software_version>{v1, v2}));
    }

    /// Guards against taking the one version in an older copy of the store for the only one that has begun streams.
    void versionThatTheStoreHasLostIsNotForgotten()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        const published_page copy = cluster.content.published;
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        cluster.restore(copy);
        node.read({entryOf("i-1", v1)});
        CPPUNIT_ASSERT(cluster.find(node, 77).version.empty());
    }

    /// Guards against streams that begin at a version which another node uses although it could not be published.
    void versionThatIsUsedUnpublishedIsCounted()
    {
        stream_cluster cluster;
        test_node &first = cluster.start();
        test_node &second = cluster.start();
        first.read({entryOf("i-1", v1)});
        second.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        cluster.content.refusesWrites = true;
        first.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        second.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(published_versions::publicationTimeout + milliseconds(500));
        CPPUNIT_ASSERT(first.versions.isUsable(entryOf("i-2", v2)));
        first.origins.noteBegun({77, chat, v2});
        cluster.time.advance(milliseconds(300));
        CPPUNIT_ASSERT_MESSAGE("no record", cluster.find(second, 78).version.empty());
        CPPUNIT_ASSERT_MESSAGE("the node that began it has recorded it", cluster.find(second, 77).version == v2);
    }

    /// Guards against registrations from before a freeze, in which another node has begun to use a version unpublished.
    void nodeThatStoodStillDoesNotTrustItsRegistrations()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        base::time_point readAt = base::clock::bootNow();
        node.versions.setRegistrationsReadAt([&] { return readAt; });
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(cluster.find(node, 77).version == v1);
        cluster.time.suspend(milliseconds(4'000));
        const origin_lookup unknown = cluster.find(node, 77);
        CPPUNIT_ASSERT_MESSAGE("asking again can help", unknown.version.empty() && unknown.why.kind == base::error_kind::noEndpoint);
        readAt = base::clock::bootNow();
        CPPUNIT_ASSERT(cluster.find(node, 77).version == v1);
    }

    /// Guards against an answer from before the last one that the node has seen.
    void olderAnswerOfTheStoreIsNoKnowledge()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(cluster.find(node, 77).version == v1);
        --cluster.content.published.end;
        const origin_lookup unknown = cluster.find(node, 77);
        CPPUNIT_ASSERT(unknown.version.empty() && unknown.why.kind == base::error_kind::noEndpoint);
    }

    /// Guards against refusing streams whose records were in the part that the store has lost.
    void recordsAreRepeatedWhenTheStoreHasLostThem()
    {
        stream_cluster cluster;
        test_node &node = cluster.start();
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        const published_page copy = cluster.content.published;
        node.origins.noteBegun({77, chat, v2});
        cluster.time.advance(milliseconds(500));
        cluster.content.origins.clear();
        cluster.restore(copy);
        cluster.time.advance(milliseconds(2'000));
        CPPUNIT_ASSERT(cluster.find(cluster.start(), 77).version == v2);
    }

    void endpointsAreUsedWhenPublicationFails()
    {
        stream_cluster cluster;
        cluster.content.refusesWrites = true;
        test_node &node = cluster.start();
        int changes = 0;
        node.versions.onChange([&] { changes += node.versions.isUsable(entryOf("i-1", v1)) ? 1 : 0; });
        node.read({entryOf("i-1", v1)});
        cluster.time.advance(published_versions::publicationTimeout - milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0, changes);
        cluster.time.advance(milliseconds(1'000));
        CPPUNIT_ASSERT(changes > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origin_test);
