#include <chervilbend/soak/fault_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::soak;

/// Guards against seeds that can't be played again.
class fault_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_schedule_test);
    CPPUNIT_TEST(seedGivesTheSchedule);
    CPPUNIT_TEST(oneKindOfFaultCanBePlayed);
    CPPUNIT_TEST(endOfTheTrafficIsQuiet);
    CPPUNIT_TEST(earlierSeedsKeepTheirOtherFaults);
    CPPUNIT_TEST(outagesComeInSeriesAndBesideOtherFaults);
    CPPUNIT_TEST(allNodesAreKilledShortlyBeforeTheQuietEnd);
    CPPUNIT_TEST(killsInSeriesMeetEachStrainOfTheStore);
    CPPUNIT_TEST(serversReturnInADrawnOrderAfterTheirRegistrationsHaveLapsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void seedGivesTheSchedule()
    {
        soak_options options;
        options.seed = 17;
        const std::string first = describe(scheduleFor(options));
        CPPUNIT_ASSERT(!first.empty());
        CPPUNIT_ASSERT_EQUAL(first, describe(scheduleFor(options)));
        options.seed = 18;
        CPPUNIT_ASSERT(first != describe(scheduleFor(options)));
    }

    void oneKindOfFaultCanBePlayed()
    {
        soak_options options;
        options.onlyFault = "starveNode";
        const std::vector<scheduled_fault> schedule = scheduleFor(options);
        CPPUNIT_ASSERT(!schedule.empty());
        for (const scheduled_fault &fault : schedule) {
            CPPUNIT_ASSERT(fault.kind == fault_kind::starveNode);
        }
        CPPUNIT_ASSERT(!faultNamed("no fault"));
    }

    void endOfTheTrafficIsQuiet()
    {
        constexpr base::milliseconds restartTime{6'000};
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            soak_options options;
            options.seed = seed;
            for (const scheduled_fault &fault : scheduleFor(options)) {
                CPPUNIT_ASSERT(fault.at <= options.duration - restartTime);
            }
        }
    }

    /// Seeds of recorded failures are only of use while they give the same faults.
    void earlierSeedsKeepTheirOtherFaults()
    {
        soak_options options;
        options.seed = 2;
        options.duration = base::milliseconds(20'000);
        options.nodes = 5;
        std::vector<scheduled_fault> schedule = scheduleFor(options);
        std::erase_if(schedule, [](const scheduled_fault &fault) { return fault.kind >= fault_kind::loseAllPower; });
        CPPUNIT_ASSERT_EQUAL(std::string("  1500 stopNode 15 526\n"
                                         "  3472 freezeNode 5 2738\n"
                                         "  5222 starveNode 26 1966\n"
                                         "  5722 holdAnswers 8 146\n"
                                         "  7847 freezeNode 7 2706\n"
                                         "  8222 lossyStore 25 328\n"
                                         "  8557 hangUpNode 26 2462\n"
                                         "  9645 silentStore 28 160\n"
                                         "  11323 holdStoreAnswers 3 2467\n"
                                         "  12151 killAllNodes 18 638\n"
                                         "  12643 holdAnswers 29 1363\n"
                                         "  13417 holdRequests 16 2614\n"),
                             describe(schedule));
    }

    void outagesComeInSeriesAndBesideOtherFaults()
    {
        constexpr base::milliseconds recoveryTime{2'000};
        std::map<fault_kind, int> outages;
        int series = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            soak_options options;
            options.seed = seed;
            base::milliseconds last = -recoveryTime;
            int others = 0;
            for (const scheduled_fault &fault : scheduleFor(options)) {
                if (fault.kind < fault_kind::loseAllPower) {
                    ++others;
                    continue;
                }
                ++outages[fault.kind];
                series += fault.at - last < recoveryTime ? 1 : 0;
                last = fault.at;
            }
            CPPUNIT_ASSERT(others > 0);
            CPPUNIT_ASSERT(last >= base::milliseconds(0));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outages.size());
        CPPUNIT_ASSERT(series > 200);

        soak_options alone;
        alone.onlyFault = "loseAllPower";
        for (const scheduled_fault &fault : scheduleFor(alone)) {
            CPPUNIT_ASSERT(fault.kind == fault_kind::loseAllPower);
        }
        CPPUNIT_ASSERT(!scheduleFor(alone).empty());
    }

    /// A change of the configuration after the last kill would hide nodes that can't read the one before.
    void allNodesAreKilledShortlyBeforeTheQuietEnd()
    {
        constexpr base::milliseconds quietEnd{6'000};
        constexpr base::milliseconds longestLead{200};
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            soak_options options;
            options.seed = seed;
            options.duration = base::milliseconds(20'000);
            const std::optional<base::milliseconds> last = lastKillOfAll(scheduleFor(options));
            CPPUNIT_ASSERT(last);
            CPPUNIT_ASSERT(*last >= options.duration - quietEnd - longestLead);
            options.onlyFault = "stopNode";
            CPPUNIT_ASSERT(!lastKillOfAll(scheduleFor(options)));
        }
    }

    void killsInSeriesMeetEachStrainOfTheStore()
    {
        std::set<store_strain> strains;
        for (std::size_t target = 0; target < 100; ++target) {
            scheduled_fault fault;
            fault.kind = fault_kind::killAllNodesInSeries;
            fault.target = target;
            const kill_series series = killSeriesOf(fault);
            CPPUNIT_ASSERT(series.kills >= 2);
            CPPUNIT_ASSERT(series.readsPerSecond > 0);
            strains.insert(series.strain);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), strains.size());
    }

    void serversReturnInADrawnOrderAfterTheirRegistrationsHaveLapsed()
    {
        constexpr std::size_t servers = 9;
        constexpr base::milliseconds lapse{3'600};
        std::set<std::size_t> firstBack;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            soak_options options;
            options.seed = seed;
            options.onlyFault = "loseAllPower";
            for (const scheduled_fault &fault : scheduleFor(options)) {
                const std::vector<server_return> returns = serverReturnsOf(fault, servers);
                std::set<std::size_t> returned;
                for (const server_return &one : returns) {
                    CPPUNIT_ASSERT(one.after > lapse);
                    CPPUNIT_ASSERT(one.after <= fault.duration);
                    returned.insert(one.server);
                }
                CPPUNIT_ASSERT_EQUAL(servers, returned.size());
                CPPUNIT_ASSERT(returns.back().after == fault.duration);
                firstBack.insert(returns.front().server);
            }
        }
        CPPUNIT_ASSERT_EQUAL(servers, firstBack.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_schedule_test);
