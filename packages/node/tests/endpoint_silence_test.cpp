#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/node/callers/endpoint_silence.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace chervilbend;
using namespace chervilbend::node;

namespace
{
constexpr base::milliseconds timeout{900};
const base::endpoint_id engine{"engine-1"};

/// In virtual time.
struct silence_fixture {
    base::manual_time_source clock;
    const std::shared_ptr<endpoint_silence> silence = std::make_shared<endpoint_silence>();
};
} // namespace

/// Guards against running work that is given up because one response pauses, and against waiting for an endpoint that has gone dark.
class endpoint_silence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_silence_test);
    CPPUNIT_TEST(singlePausedResponseIsNoSilence);
    CPPUNIT_TEST(dataOfAnotherResponseEndsTheSilence);
    CPPUNIT_TEST(severalPausedResponsesAreSilence);
    CPPUNIT_TEST(endedResponsesDoNotCount);
    CPPUNIT_TEST(pauseAsLongAsThoseBeforeIsNoSilence);
    CPPUNIT_TEST(quickResponseShowsTheSilenceOfASlowEndpoint);
    CPPUNIT_TEST(firstShortPauseDoesNotSetThePace);
    CPPUNIT_TEST(longPausesDoNotHideASilenceForLong);
    CPPUNIT_TEST_SUITE_END();

public:
    void singlePausedResponseIsNoSilence()
    {
        silence_fixture fixture;
        const endpoint_silence::open_response only(fixture.silence, engine);
        fixture.clock.advance(timeout * 10);
        CPPUNIT_ASSERT(!fixture.silence->isSilent(engine, timeout));
    }

    void dataOfAnotherResponseEndsTheSilence()
    {
        silence_fixture fixture;
        const endpoint_silence::open_response paused(fixture.silence, engine);
        endpoint_silence::open_response other(fixture.silence, engine);
        fixture.clock.advance(timeout);
        CPPUNIT_ASSERT(fixture.silence->isSilent(engine, timeout));
        other.received();
        CPPUNIT_ASSERT(!fixture.silence->isSilent(engine, timeout));
    }

    void severalPausedResponsesAreSilence()
    {
        silence_fixture fixture;
        const endpoint_silence::open_response first(fixture.silence, engine);
        const endpoint_silence::open_response second(fixture.silence, engine);
        const endpoint_silence::open_response elsewhere(fixture.silence, base::endpoint_id("engine-2"));
        fixture.clock.advance(timeout - base::milliseconds(1));
        CPPUNIT_ASSERT(!fixture.silence->isSilent(engine, timeout));
        fixture.clock.advance(base::milliseconds(1));
        CPPUNIT_ASSERT(fixture.silence->isSilent(engine, timeout));
        CPPUNIT_ASSERT(!fixture.silence->isSilent(base::endpoint_id("engine-2"), timeout));
        CPPUNIT_ASSERT(!fixture.silence->isSilent(base::endpoint_id("unknown"), timeout));
    }

    void endedResponsesDoNotCount()
    {
        silence_fixture fixture;
        const endpoint_silence::open_response first(fixture.silence, engine);
        {
            const endpoint_silence::open_response second(fixture.silence, engine);
            fixture.clock.advance(timeout);
        }
        CPPUNIT_ASSERT(!fixture.silence->isSilent(engine, timeout));
    }

    /// Guards against a slow but steady endpoint that is taken for a silent one.
    void pauseAsLongAsThoseBeforeIsNoSilence()
    {
        constexpr base::milliseconds pause{1'200};
        silence_fixture fixture;
        endpoint_silence::open_response first(fixture.silence, engine);
        endpoint_silence::open_response second(fixture.silence, engine);
        for (int event = 0; event < 3; ++event) {
            fixture.clock.advance(pause);
            CPPUNIT_ASSERT(event == 0 || !fixture.silence->isSilent(engine, timeout));
            first.received();
            second.received();
        }
        fixture.clock.advance(pause * 2);
        CPPUNIT_ASSERT(fixture.silence->isSilent(engine, timeout));
    }

    /// Guards against a silence that is noticed late because one of several responses had been preempted.
    void quickResponseShowsTheSilenceOfASlowEndpoint()
    {
        silence_fixture fixture;
        endpoint_silence::open_response preempted(fixture.silence, engine);
        endpoint_silence::open_response quick(fixture.silence, engine);
        for (int event = 0; event < 12; ++event) {
            fixture.clock.advance(base::milliseconds(100));
            quick.received();
        }
        preempted.received();
        fixture.clock.advance(timeout);
        CPPUNIT_ASSERT(fixture.silence->isSilent(engine, timeout));
    }

    /// Guards against a pace that is taken from one pause that a delay of the node has cut short.
    void firstShortPauseDoesNotSetThePace()
    {
        constexpr base::milliseconds pause{1'000};
        silence_fixture fixture;
        endpoint_silence::open_response first(fixture.silence, engine, pause + timeout);
        endpoint_silence::open_response second(fixture.silence, engine, pause + timeout);
        fixture.clock.advance(pause - timeout);
        first.received();
        second.received();
        fixture.clock.advance(pause);
        CPPUNIT_ASSERT(!fixture.silence->isSilent(engine, timeout));
    }

    /// Guards against waiting for a silent endpoint until the callers leave, 2 s after an event at the earliest.
    void longPausesDoNotHideASilenceForLong()
    {
        silence_fixture fixture;
        endpoint_silence::open_response first(fixture.silence, engine);
        endpoint_silence::open_response second(fixture.silence, engine);
        fixture.clock.advance(base::milliseconds(10'000));
        first.received();
        second.received();
        fixture.clock.advance(base::milliseconds(1'900));
        CPPUNIT_ASSERT(fixture.silence->isSilent(engine, timeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_silence_test);
