#include "crashing_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

using namespace chervilbend;
using namespace chervilbend::routing;

namespace
{

constexpr unsigned firstSeed = 1;
constexpr unsigned seeds = 10;
constexpr int allowedLateArrivals = 3;

fleet_size largeFleet()
{
    fleet_size size;
    size.nodes = 83;
    size.endpoints = 112;
    size.requestsPerSecond = 330;
    size.soundParts = 110;
    return size;
}

} // namespace

/// Pattern: a part of a prompt that endpoints have answered crashes them: after the first event of each answer, or before it from some moment on.
/// Guards against taking the beginning of an answer, or an early answer, for proof that the part is sound; and against sound parts that are refused,
/// since endpoints that crash have many requests.
class crashing_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_answer_test);
    CPPUNIT_TEST(crashesAfterTheFirstEventStop);
    CPPUNIT_TEST(crashesLaterInTheAnswerStop);
    CPPUNIT_TEST(crashesAfterTheFirstEventStopInALargeFleet);
    CPPUNIT_TEST(crashesOfAPartThatTurnsFatalStop);
    CPPUNIT_TEST(crashesOfAPartThatTurnsFatalStopInALargeFleet);
    CPPUNIT_TEST(longStreamsAreServedBesideTheCrashes);
    CPPUNIT_TEST(rarePartsAreServedBesideTheCrashes);
    CPPUNIT_TEST(repeatedRequestThatCrashesAfterItsFirstEventIsRefused);
    CPPUNIT_TEST(replacedNodesLearnWhichPartIsRefused);
    CPPUNIT_TEST(otherCrashesRefuseNoSoundRequest);
    CPPUNIT_TEST(outageOfAllEndpointsRefusesNoSoundRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashesAfterTheFirstEventStop()
    {
        fleet_size size;
        size.crashAfterFirstEvent = base::milliseconds(0);
        checkCrashesStop(size, false);
    }

    void crashesLaterInTheAnswerStop()
    {
        fleet_size size;
        size.crashAfterFirstEvent = base::milliseconds(300);
        checkCrashesStop(size, false);
    }

    void crashesAfterTheFirstEventStopInALargeFleet()
    {
        fleet_size size = largeFleet();
        size.crashAfterFirstEvent = base::milliseconds(0);
        checkCrashesStop(size, false);
    }

    void crashesOfAPartThatTurnsFatalStop()
    {
        checkCrashesStop({}, true);
    }

    void crashesOfAPartThatTurnsFatalStopInALargeFleet()
    {
        checkCrashesStop(largeFleet(), true);
    }

    /// Most answers take long to come to their end, so that their endpoints crash before it.
    void longStreamsAreServedBesideTheCrashes()
    {
        fleet_size size;
        size.crashAfterFirstEvent = base::milliseconds(0);
        size.requestsPerSecond = 20;
        size.runTime = base::milliseconds(5'000);
        checkCrashesStop(size, false);
        // With seed 106, a sound part was refused when answers that had gone on for seconds counted as lost with their endpoint.
        checkCrashesStop(size, false, 101);
    }

    /// Each sound part has so few requests that several of them in a row are lost beside the crashing ones.
    void rarePartsAreServedBesideTheCrashes()
    {
        fleet_size size;
        size.crashAfterFirstEvent = base::milliseconds(0);
        size.soundParts = 400;
        checkCrashesStop(size, false);
    }

    void repeatedRequestThatCrashesAfterItsFirstEventIsRefused()
    {
        fleet_size size;
        size.crashAfterFirstEvent = base::milliseconds(0);
        size.isOneRequest = true;
        checkCrashesStop(size, false);
    }

    void replacedNodesLearnWhichPartIsRefused()
    {
        for (unsigned seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            fleet_size size;
            size.crashAfterFirstEvent = base::milliseconds(0);
            crashing_fleet fleet(size, seed);
            fleet.run(base::milliseconds(4'000), false);
            fleet.run(base::milliseconds(5'000), true);
            for (std::size_t node = 0; node < 6; ++node) {
                fleet.restartNode(node);
                fleet.run(base::milliseconds(1'500), true);
            }
            const std::string text = textOf(fleet, seed);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.lateArrivals <= allowedLateArrivals);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, fleet.soundRefused);
        }
        printSeeds();
    }

    /// Endpoints crash one after the other for reasons of their own, each with requests of several sound parts.
    void otherCrashesRefuseNoSoundRequest()
    {
        for (unsigned seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            crashing_fleet fleet({}, seed);
            fleet.run(base::milliseconds(4'000), false);
            for (int i = 0; i < 12; ++i) {
                fleet.crashEndpoints(1 + static_cast<std::size_t>(i % 3));
                fleet.run(base::milliseconds(1'000), false);
            }
            const std::string text = textOf(fleet, seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, fleet.soundRefused);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.soundBegun * 10 >= fleet.soundSubmitted * 9);
        }
        printSeeds();
    }

    /// All requests of the route are lost, those with its first part, too. Nothing tells whether the part or something else is the cause.
    void outageOfAllEndpointsRefusesNoSoundRequest()
    {
        for (unsigned seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            fleet_size size;
            crashing_fleet fleet(size, seed);
            fleet.run(base::milliseconds(4'000), false);
            for (int i = 0; i < 3; ++i) {
                fleet.crashEndpoints(static_cast<std::size_t>(size.endpoints));
                fleet.run(base::milliseconds(3'300), false);
            }
            fleet.soundSubmitted = fleet.soundBegun = 0;
            fleet.run(base::milliseconds(4'000), false);
            const std::string text = textOf(fleet, seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, fleet.soundRefused);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.soundBegun * 10 >= fleet.soundSubmitted * 9);
        }
        printSeeds();
    }

private:
    static void checkCrashesStop(const fleet_size &size, bool isSoundAtFirst, unsigned first = firstSeed)
    {
        for (unsigned seed = first; seed < first + seeds; ++seed) {
            crashing_fleet fleet(size, seed);
            fleet.isPartFatal = !isSoundAtFirst;
            fleet.run(base::milliseconds(8'000), isSoundAtFirst);
            fleet.isPartFatal = true;
            fleet.run(base::milliseconds(8'000), true);
            const int lateAtFirst = fleet.lateArrivals;
            fleet.soundSubmitted = fleet.soundBegun = fleet.soundCompleted = 0;
            fleet.run(base::milliseconds(16'000), true);
            const std::string text = textOf(fleet, seed) + ", " + std::to_string(lateAtFirst) + " of the late arrivals in the first 8 s";
            CPPUNIT_ASSERT_MESSAGE(text, fleet.lateArrivals <= allowedLateArrivals);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.soundBegun * 10 >= fleet.soundSubmitted * 9);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.soundCompleted * 2 >= fleet.soundSubmitted);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, fleet.soundRefused);
        }
        printSeeds(first);
    }

    static std::string textOf(const crashing_fleet &fleet, unsigned seed)
    {
        return "seed " + std::to_string(seed) + ": " + std::to_string(fleet.crashes) + " crashes, " + std::to_string(fleet.lateArrivals)
            + " late arrivals, sound requests: " + std::to_string(fleet.soundSubmitted) + " submitted, " + std::to_string(fleet.soundRefused) + " refused, "
            + std::to_string(fleet.soundBegun) + " begun, " + std::to_string(fleet.soundCompleted) + " completed";
    }

    static void printSeeds(unsigned first = firstSeed)
    {
        std::cout << "crashing_answer_test seeds " << first << " to " << first + seeds - 1 << '\n';
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_answer_test);
