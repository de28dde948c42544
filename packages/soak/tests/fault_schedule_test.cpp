#include <chervilbend/soak/fault_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::soak;

/// Guards against seeds that can't be played again.
class fault_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_schedule_test);
    CPPUNIT_TEST(seedGivesTheSchedule);
    CPPUNIT_TEST(oneKindOfFaultCanBePlayed);
    CPPUNIT_TEST(endOfTheTrafficIsQuiet);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_schedule_test);
