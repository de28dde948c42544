#include "route_api_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace asio = boost::asio;

using namespace chervilbend;
using namespace chervilbend::node::test;

namespace
{

/// More than the silence timeout of the fixture's routes, 450 ms.
constexpr base::milliseconds silence{1'000};

const std::string startWithPartOfAnEvent = sealedStream + numberedEvent(1) + chunk("id: 2\nda");
const std::string restOfTheEvent = chunk("ta: word2\n\n") + lastChunk;

/// An endpoint on which two streams fall silent together, and another one, to which the second of them is given.
struct silent_endpoint_fixture : route_api_fixture {
    /// The silent endpoint writes @p start on both streams and, after the silence, @p rest on the second one.
    silent_endpoint_fixture(std::string start, std::string rest, raw_server::script other)
    {
        configure();
        addEndpoint([this, start = std::move(start), rest = std::move(rest)](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            const std::string request = co_await caller->readUntil("{}");
            if (contains(request, "Last-Event-Id")) {
                co_await caller->send(notExecutedResponse);
                co_return;
            }
            const bool isNeighbour = contains(request, "/chat/neighbour");
            co_await caller->send(start);
            if (!isNeighbour && !rest.empty()) {
                co_await net::sleepFor(silence);
                co_await caller->send(rest);
            }
            const std::string nothing = co_await caller->readToEnd();
            wasClosed = wasClosed || (!isNeighbour && caller->closed);
        });
        // The director takes the endpoints in turn.
        addAddress(endpoints[0]->port());
        addEndpoint(std::move(other));
    }

    /// The answer to a stream that begins after its neighbour.
    std::string askBesideNeighbour()
    {
        asio::co_spawn(
            context,
            [this]() -> asio::awaitable<void> {
                const auto neighbour = co_await raw_peer::connect(port);
                co_await neighbour->send("POST /chat/neighbour HTTP/1.1\r\nHost: h.example\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 2\r\n\r\n{}");
                co_await neighbour->readToEnd();
            },
            asio::detached);
        net::test::runUntilDone(context, []() -> asio::awaitable<void> { co_await net::sleepFor(base::milliseconds(50)); });
        return ask("/chat/x");
    }

    bool wasClosed = false;
};

} // namespace

/// Guards against a stream that the node gives up because its endpoint is silent, and that is then cut because no other endpoint continues it.
class abandoned_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(abandoned_stream_test);
    CPPUNIT_TEST(silentStreamIsKeptWhenNoOtherEndpointTakesIt);
    CPPUNIT_TEST(silentStreamIsKeptWhenItsSuccessorBreaksOff);
    CPPUNIT_TEST(silentStreamThatGoesOnFirstIsKept);
    CPPUNIT_TEST(silentStreamGoesOnAtAnotherEndpoint);
    CPPUNIT_TEST(streamThatNobodyContinuesIsCountedAsBroken);
    CPPUNIT_TEST(silentStreamWithAnIdThatIsNoNumberIsNotGivenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void silentStreamIsKeptWhenNoOtherEndpointTakesIt()
    {
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, restOfTheEvent, answerAndClose(notExecutedResponse));
        checkIsWhole(fixture.askBesideNeighbour());
    }

    void silentStreamIsKeptWhenItsSuccessorBreaksOff()
    {
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, restOfTheEvent, answerAndClose(sealedStream));
        checkIsWhole(fixture.askBesideNeighbour());
    }

    void silentStreamThatGoesOnFirstIsKept()
    {
        bool wasAsked = false;
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, restOfTheEvent, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            wasAsked = true;
            co_await caller->readToEnd();
        });
        checkIsWhole(fixture.askBesideNeighbour());
        CPPUNIT_ASSERT(wasAsked);
    }

    void silentStreamGoesOnAtAnotherEndpoint()
    {
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, {}, answerAndClose(sealedStream + numberedEvent(2) + lastChunk));
        checkIsWhole(fixture.askBesideNeighbour());
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> { co_await net::test::waitUntil([&] { return fixture.wasClosed; }); });
    }

    /// The silent endpoint ends without its stream's end, and the other one refuses.
    void streamThatNobodyContinuesIsCountedAsBroken()
    {
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, "broken off\r\n", answerAndClose(notExecutedResponse));
        const std::string answer = fixture.askBesideNeighbour();
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && !answer.ends_with("0\r\n\r\n"));
        const std::string metrics = fixture.registry.text();
        CPPUNIT_ASSERT_MESSAGE(metrics, contains(metrics, "chervilbend_broken_streams_total 1\n") && contains(metrics, "chervilbend_kept_streams_total 1\n"));
    }

    /// No other endpoint can continue it, since the place of the last event is not known.
    void silentStreamWithAnIdThatIsNoNumberIsNotGivenUp()
    {
        const std::string start = sealedStream + numberedEvent(1) + chunk("id: x\ndata: odd\n\n");
        silent_endpoint_fixture fixture(start, numberedEvent(2) + lastChunk, answerAndClose(sealedStream + numberedEvent(2) + lastChunk));
        const std::string answer = fixture.askBesideNeighbour();
        checkIsWhole(answer);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("odd") != std::string::npos && answer.find("odd") == answer.rfind("odd"));
        CPPUNIT_ASSERT_EQUAL(0, fixture.endpoints[1]->connections);
    }

private:
    static void checkIsWhole(const std::string &answer)
    {
        const std::size_t first = answer.find("data: word1\n\n");
        const std::size_t second = answer.find("id: 2\ndata: word2\n\n");
        CPPUNIT_ASSERT_MESSAGE(answer, first != std::string::npos && second != std::string::npos && first < second);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("id: 2") == second && answer.ends_with("0\r\n\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(abandoned_stream_test);
