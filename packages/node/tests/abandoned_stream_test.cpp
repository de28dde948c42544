#include "route_api_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
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
            if (!isNeighbour && caller->closed && !wasClosed) {
                wasClosed = true;
                closedAt = elapsed;
            }
        });
        asio::co_spawn(context, countElapsed(), asio::detached);
        // The director takes the endpoints in turn.
        addAddress(endpoints[0]->port());
        addEndpoint(std::move(other));
    }

    /// Two endpoints that run these scripts.
    silent_endpoint_fixture(raw_server::script first, raw_server::script other)
    {
        configure();
        addEndpoint(std::move(first));
        addAddress(endpoints[0]->port());
        addEndpoint(std::move(other));
    }

    /// Begins another stream, which stays open.
    void openNeighbour(std::string path)
    {
        asio::co_spawn(
            context,
            [this, path = std::move(path)]() -> asio::awaitable<void> {
                const auto neighbour = co_await raw_peer::connect(port);
                co_await neighbour->send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 2\r\n\r\n{}");
                co_await neighbour->readToEnd();
            },
            asio::detached);
        net::test::runUntilDone(context, []() -> asio::awaitable<void> { co_await net::sleepFor(base::milliseconds(50)); });
    }

    /// The answer to a stream that begins after its neighbour.
    std::string askBesideNeighbour()
    {
        openNeighbour("/chat/neighbour");
        return ask("/chat/x");
    }

    bool wasClosed = false;
    /// Time in which the event loop, which the node and the endpoints share, was not held up: a busy machine doesn't change what is measured with it.
    base::milliseconds elapsed{0};
    /// When the silent endpoint saw that its stream was closed.
    base::milliseconds closedAt{0};

private:
    asio::awaitable<void> countElapsed()
    {
        constexpr base::milliseconds step{10};
        while (true) {
            co_await net::sleepFor(step);
            elapsed += step;
        }
    }
};

/// Between the events of a slow stream; more than the silence timeout, too.
constexpr base::milliseconds steadyPause{700};

/// Allowed by a route; far longer than the pause, so that a machine that holds the test up for a while doesn't change its verdict.
constexpr base::milliseconds allowedPause{1'300};

/// Writes the header at once, then an event after each pause.
asio::awaitable<void> writeSlowly(std::shared_ptr<raw_peer> caller, int events)
{
    co_await caller->send(sealedStream);
    for (int event = 1; event <= events; ++event) {
        co_await net::sleepFor(steadyPause);
        co_await caller->send(numberedEvent(event));
    }
    co_await caller->send(lastChunk);
}

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
    CPPUNIT_TEST(silentEndpointIsStoppedSoonAfterItsSuccessorHasBegun);
    CPPUNIT_TEST(silentEndpointIsStoppedWhileItsSuccessorSendsPartsOfAnEvent);
    CPPUNIT_TEST(silentStreamIsKeptWhenItsSuccessorIsAsSilent);
    CPPUNIT_TEST(slowButSteadyStreamStaysAtItsEndpoint);
    CPPUNIT_TEST(pauseThatTheRouteAllowsIsNoSilence);
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

    /// Guards against a request that is at work at two endpoints for long: the successor begins at once, and its first event takes long.
    void silentEndpointIsStoppedSoonAfterItsSuccessorHasBegun()
    {
        constexpr base::milliseconds firstEventDelay{900};
        std::optional<base::milliseconds> begunAt;
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, {}, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            begunAt = fixture.elapsed;
            co_await caller->send(sealedStream);
            co_await net::sleepFor(firstEventDelay);
            co_await caller->send(numberedEvent(2) + lastChunk);
            co_await caller->readToEnd();
        });
        checkIsWhole(fixture.askBesideNeighbour());
        checkOverlap(fixture, begunAt);
    }

    /// Guards against the same with a successor whose first event arrives in many parts, so that no wait for its data ever ends.
    void silentEndpointIsStoppedWhileItsSuccessorSendsPartsOfAnEvent()
    {
        constexpr int parts = 45;
        constexpr base::milliseconds pause{20};
        std::optional<base::milliseconds> begunAt;
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, {}, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            begunAt = fixture.elapsed;
            co_await caller->send(sealedStream);
            for (int part = 0; part < parts; ++part) {
                const std::string comment = chunk(": part\n");
                co_await caller->send(comment);
                co_await net::sleepFor(pause);
            }
            const std::string rest = numberedEvent(2) + lastChunk;
            co_await caller->send(rest);
            co_await caller->readToEnd();
        });
        checkIsWhole(fixture.askBesideNeighbour());
        checkOverlap(fixture, begunAt);
    }

    /// Guards against a stream that is handed to an endpoint that is as silent as its own, which would have gone on.
    void silentStreamIsKeptWhenItsSuccessorIsAsSilent()
    {
        base::milliseconds closedAt{0};
        base::milliseconds begunAt{0};
        silent_endpoint_fixture fixture(startWithPartOfAnEvent, restOfTheEvent, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            const std::string request = co_await caller->readUntil("{}");
            begunAt = fixture.elapsed;
            const bool isNeighbour = contains(request, "/report/");
            const std::string start = sealedStream + (isNeighbour ? numberedEvent(1) : std::string());
            co_await caller->send(start);
            co_await caller->readToEnd();
            if (!isNeighbour) {
                closedAt = fixture.elapsed;
            }
        });
        // The director takes the endpoints in turn: the silent one, twice the other one, and so on.
        const base::endpoint_id silent("i-" + std::to_string(fixture.endpoints[0]->port()));
        const base::endpoint_id other("i-" + std::to_string(fixture.endpoints[1]->port()));
        fixture.director.pools["desk"] = {other, other, silent, silent, other};
        fixture.openNeighbour("/report/a");
        fixture.openNeighbour("/report/b");
        checkIsWhole(fixture.askBesideNeighbour());
        net::test::runUntilDone(fixture.context,
                                [&]() -> asio::awaitable<void> { co_await net::test::waitUntil([&] { return closedAt > base::milliseconds(0); }); });
        const base::milliseconds overlap = closedAt - begunAt;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(overlap.count()) + " ms at work at both", overlap < maxOverlap);
    }

    /// Guards against a second run of a stream that is slow and steady: its pauses are longer than the silence timeout from its first event on.
    void slowButSteadyStreamStaysAtItsEndpoint()
    {
        bool wasOtherAsked = false;
        silent_endpoint_fixture fixture(
            [](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                co_await caller->readUntil("{}");
                co_await writeSlowly(caller, 3);
            },
            [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                co_await caller->readUntil("{}");
                wasOtherAsked = true;
                co_await writeSlowly(caller, 3);
            });
        const std::string answer = fixture.askBesideNeighbour();
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "id: 3\ndata: word3\n\n") && answer.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(!wasOtherAsked);
    }

    /// Guards against a second run of a stream that is on time: its first pause is longer than the silence timeout, and shorter than its route allows.
    void pauseThatTheRouteAllowsIsNoSilence()
    {
        bool wasOtherAsked = false;
        silent_endpoint_fixture fixture(
            [](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                co_await caller->readUntil("{}");
                const std::string start = sealedStream + numberedEvent(1);
                co_await caller->send(start);
                co_await net::sleepFor(steadyPause);
                const std::string rest = numberedEvent(2) + lastChunk;
                co_await caller->send(rest);
            },
            [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                co_await caller->readUntil("{}");
                wasOtherAsked = true;
                co_await caller->readToEnd();
            });
        auto changed = std::make_shared<fleet::traffic_configuration>(*fixture.configuration);
        for (fleet::route_rule &route : changed->routes) {
            route.longestGap = allowedPause;
        }
        fixture.configuration = changed;
        fixture.configure();
        checkIsWhole(fixture.askBesideNeighbour());
        CPPUNIT_ASSERT(!wasOtherAsked);
    }

private:
    /// For which a request may be at work at two endpoints.
    static constexpr base::milliseconds maxOverlap{400};

    static void checkOverlap(silent_endpoint_fixture &fixture, std::optional<base::milliseconds> begunAt)
    {
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> { co_await net::test::waitUntil([&] { return fixture.wasClosed; }); });
        CPPUNIT_ASSERT(begunAt);
        const base::milliseconds overlap = fixture.closedAt - *begunAt;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(overlap.count()) + " ms at work at both", overlap < maxOverlap);
    }

    static void checkIsWhole(const std::string &answer)
    {
        const std::size_t first = answer.find("data: word1\n\n");
        const std::size_t second = answer.find("id: 2\ndata: word2\n\n");
        CPPUNIT_ASSERT_MESSAGE(answer, first != std::string::npos && second != std::string::npos && first < second);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("id: 2") == second && answer.ends_with("0\r\n\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(abandoned_stream_test);
