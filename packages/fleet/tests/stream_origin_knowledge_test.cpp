#include "stream_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::fleet;
using namespace chervilbend::fleet::test;
using base::milliseconds;

/// Guards against a node that takes what the store shows at the moment for all that other nodes may have done.
class stream_origin_knowledge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_origin_knowledge_test);
    CPPUNIT_TEST(olderCopyOfTheStoreLosesNoVersion);
    CPPUNIT_TEST(versionThatTheStoreHasLostIsNotForgotten);
    CPPUNIT_TEST(versionThatIsUsedUnpublishedIsCounted);
    CPPUNIT_TEST(nodeThatStoodStillDoesNotTrustItsRegistrations);
    CPPUNIT_TEST(olderAnswerOfTheStoreIsNoKnowledge);
    CPPUNIT_TEST(recordsAreRepeatedWhenTheStoreHasLostThem);
    CPPUNIT_TEST_SUITE_END();

    /// A node that has seen v2 join v1; then the store came back from before that, with the registrations.
    static test_node &restoredDuringRelease(stream_cluster &cluster)
    {
        test_node &node = cluster.startWith({entryOf("i-1", v1)});
        const published_page copy = cluster.content.published;
        node.read({entryOf("i-1", v1), entryOf("i-2", v2)});
        cluster.time.advance(milliseconds(500));
        cluster.restore(copy);
        node.read({entryOf("i-1", v1)});
        return node;
    }

public:
    void olderCopyOfTheStoreLosesNoVersion()
    {
        stream_cluster cluster;
        test_node &node = restoredDuringRelease(cluster);
        cluster.find(node, 77);
        cluster.time.advance(milliseconds(1'500));
        CPPUNIT_ASSERT(cluster.content.published.versions[chat] == (std::set<base::software_version>{v1, v2}));
    }

    /// Guards against taking the one version in an older copy of the store for the only one that has begun streams.
    void versionThatTheStoreHasLostIsNotForgotten()
    {
        stream_cluster cluster;
        test_node &node = restoredDuringRelease(cluster);
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
        test_node &node = cluster.startWith({entryOf("i-1", v1)});
        CPPUNIT_ASSERT(cluster.find(node, 77).version == v1);
        --cluster.content.published.end;
        const origin_lookup unknown = cluster.find(node, 77);
        CPPUNIT_ASSERT(unknown.version.empty() && unknown.why.kind == base::error_kind::noEndpoint);
    }

    /// Guards against refusing streams whose records were in the part that the store has lost.
    void recordsAreRepeatedWhenTheStoreHasLostThem()
    {
        stream_cluster cluster;
        test_node &node = cluster.startWith({entryOf("i-1", v1), entryOf("i-2", v2)});
        const published_page copy = cluster.content.published;
        node.origins.noteBegun({77, chat, v2});
        cluster.time.advance(milliseconds(500));
        cluster.content.origins.clear();
        cluster.restore(copy);
        cluster.time.advance(milliseconds(2'000));
        CPPUNIT_ASSERT(cluster.find(cluster.start(), 77).version == v2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origin_knowledge_test);
