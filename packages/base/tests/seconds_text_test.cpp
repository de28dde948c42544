#include <chervilbend/base/seconds_text.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend::base;

/// Guards against a Retry-After that callers can't read, such as one with an exponent, and against one that loses its milliseconds.
class seconds_text_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(seconds_text_test);
    CPPUNIT_TEST(writesPlainDecimals);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesPlainDecimals()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("0.001"), secondsText(milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("1.250"), secondsText(milliseconds(1'250)));
        CPPUNIT_ASSERT_EQUAL(std::string("1000000000.000"), secondsText(milliseconds(1'000'000'000'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("12"), secondsText(milliseconds(12'000), 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(seconds_text_test);
