#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/manual_time_source.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend::base;

/// Guards against a clock that ignores the installed time source, which would make tests in virtual time nondeterministic.
class clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(clock_test);
    CPPUNIT_TEST(followsTheInstalledSource);
    CPPUNIT_TEST(restoresTheSystemClock);
    CPPUNIT_TEST_SUITE_END();

public:
    void followsTheInstalledSource()
    {
        manual_time_source source;
        const time_point start = clock::now();
        CPPUNIT_ASSERT(clock::now() == start);
        source.advance(milliseconds(250));
        CPPUNIT_ASSERT(clock::now() - start == milliseconds(250));
    }

    void restoresTheSystemClock()
    {
        time_point manual;
        {
            manual_time_source source;
            manual = clock::now();
        }
        CPPUNIT_ASSERT(clock::now() != manual);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(clock_test);
