#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/manual_time_source.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend::base;

/// Guards against time that does not follow the installed source, which would make virtual-time tests differ from run to run.
class clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(clock_test);
    CPPUNIT_TEST(followsTheInstalledSource);
    CPPUNIT_TEST(returnsToTheSystemClock);
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

    void returnsToTheSystemClock()
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
