#include "route_api_fixture.hpp"

#include <chervilbend/base/hash.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;

/// Guards against streams that callers take up again being continued at any endpoint, or refused with a status that is not true.
class stream_take_up_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_take_up_test);
    CPPUNIT_TEST(takeUpIsBoundToTheVersionThatBeganTheStream);
    CPPUNIT_TEST(takeUpOfATakeUpNamesTheFirstAttempt);
    CPPUNIT_TEST(unknownOriginIsRefusedWithoutInvitation);
    CPPUNIT_TEST(originThatMayBecomeKnownInvitesBack);
    CPPUNIT_TEST(requestThatTakesNothingUpIsNotLookedUp);
    CPPUNIT_TEST(firstEventBindsTheStream);
    CPPUNIT_TEST(brokenStreamIsReported);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *takeUpFields = "Last-Event-Id: 4\r\nResumes: first1\r\n";

public:
    void takeUpIsBoundToTheVersionThatBeganTheStream()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.origins.result.version = base::software_version("v7");
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(5) + lastChunk));
        const std::string answer = fixture.ask("/chat/x", takeUpFields);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 200 ") && contains(answer, "word5"));
        CPPUNIT_ASSERT_EQUAL(std::string("v7"), fixture.director.submitted.at(0).softwareVersion.value());
        CPPUNIT_ASSERT(fixture.origins.lookups.at(0) == base::hash64("first1"));
    }

    /// Its own attempt ID must not become the stream's: the caller will name the first one again.
    void takeUpOfATakeUpNamesTheFirstAttempt()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(5) + lastChunk));
        fixture.ask("/chat/x", takeUpFields);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.origins.begun.size());
        CPPUNIT_ASSERT(fixture.origins.begun[0].stream == base::hash64("first1"));
    }

    void unknownOriginIsRefusedWithoutInvitation()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.origins.result = {{}, fleet::origin_source::unknown, {base::error_kind::notResumable, "not recorded"}};
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(5) + lastChunk));
        const std::string answer = fixture.ask("/chat/x", takeUpFields);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && !contains(answer, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(0, fixture.endpoints[0]->connections);
    }

    void originThatMayBecomeKnownInvitesBack()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.origins.result = {{}, fleet::origin_source::unknown, {base::error_kind::noEndpoint, "the store does not answer"}};
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(5) + lastChunk));
        const std::string answer = fixture.ask("/chat/x", takeUpFields);
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(0, fixture.endpoints[0]->connections);
    }

    void requestThatTakesNothingUpIsNotLookedUp()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(1) + lastChunk));
        fixture.ask("/chat/x");
        CPPUNIT_ASSERT(fixture.origins.lookups.empty());
        CPPUNIT_ASSERT(fixture.director.submitted.at(0).softwareVersion.empty());
    }

    /// The first endpoint sends no event, so the stream begins at the second one.
    void firstEventBindsTheStream()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + "9\r\nid: 1\ndat\r\n");
            CPPUNIT_ASSERT_EQUAL(0, fixture.director.bindings);
        });
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(1) + numberedEvent(2) + lastChunk));
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word2"));
        CPPUNIT_ASSERT_EQUAL(1, fixture.director.bindings);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.origins.begun.size());
        CPPUNIT_ASSERT(fixture.origins.begun[0] == (fleet::stream_origin{base::hash64("own1"), base::service_id("desk"), base::software_version("v1")}));
        CPPUNIT_ASSERT(fixture.origins.ended == std::vector<bool>{true});
    }

    /// Its caller comes back at another node within milliseconds.
    void brokenStreamIsReported()
    {
        route_api_fixture fixture;
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.addEndpoint(answerAndClose(sealedStream + numberedEvent(1)));
        fixture.ask("/chat/x");
        CPPUNIT_ASSERT(fixture.origins.ended == std::vector<bool>{false});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_take_up_test);
