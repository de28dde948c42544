#include "stream_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::fleet;
using namespace chervilbend::fleet::test;
using base::milliseconds;

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
        test_node &node = cluster.startWith({entryOf("i-1", v1)});
        const int calls = cluster.content.calls;
        node.origins.noteBegun({77, chat, v1});
        node.origins.noteEnded(77, false);
        cluster.time.advance(milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(calls, cluster.content.calls);
    }

    void newVersionIsNotUsedBeforeItIsPublished()
    {
        stream_cluster cluster;
        test_node &node = cluster.startWith({entryOf("i-1", v1)});
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
        test_node &node = cluster.startWith({entryOf("i-1", v1), entryOf("i-2", v2)});
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
        test_node &restarted = cluster.startWith({entryOf("i-2", v2)});
        CPPUNIT_ASSERT(cluster.find(restarted, 77).version.empty());
    }

    void streamsOfTheFirstVersionAreRecordedWhenTheSecondComes()
    {
        stream_cluster cluster;
        test_node &first = cluster.startWith({entryOf("i-1", v1)});
        first.origins.noteBegun({77, chat, v1});
        first.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(700));
        CPPUNIT_ASSERT(cluster.find(cluster.start(), 77).version == v1);
    }

    void streamWithoutRecordIsRefusedSoon()
    {
        stream_cluster cluster;
        test_node &node = cluster.startWith({entryOf("i-1", v1), entryOf("i-2", v2)});
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
        test_node &node = cluster.startWith({entryOf("i-1", v1)});
        node.origins.noteBegun({78, chat, v1});
        cluster.content.isDown = true;
        const origin_lookup unknown = cluster.find(node, 77);
        CPPUNIT_ASSERT_MESSAGE("asking again can help", unknown.version.empty() && unknown.why.kind == base::error_kind::noEndpoint);
        CPPUNIT_ASSERT_MESSAGE("its own streams a node knows without the store", cluster.find(node, 78).version == v1);
    }

    void unnamedStreamIsKnownOnlyWithASingleVersion()
    {
        stream_cluster cluster;
        test_node &node = cluster.startWith({entryOf("i-1", v1)});
        CPPUNIT_ASSERT(cluster.find(node, std::nullopt).version == v1);
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        CPPUNIT_ASSERT(cluster.find(node, std::nullopt).version.empty());
    }

    void recordsOfLongStreamsAreRenewed()
    {
        stream_cluster cluster;
        test_node &node = cluster.startWith({entryOf("i-1", v1), entryOf("i-2", v2)});
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
