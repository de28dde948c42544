#include <chervilbend/net/query_target.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace chervilbend::net;

/// Guards against text that ends a parameter, or stands for other text, where it is put into a query.
class query_target_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(query_target_test);
    CPPUNIT_TEST(parametersKeepTheirOrder);
    CPPUNIT_TEST(textWithAMeaningInAQueryIsEncoded);
    CPPUNIT_TEST(bytesThatAreNoTextAreEncoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void parametersKeepTheirOrder()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), query_target("/a").text());
        CPPUNIT_ASSERT_EQUAL(std::string("/a?b=c&d=-4&e="), query_target("/a").with("b", "c").with("d", -4).with("e", "").text());
    }

    void textWithAMeaningInAQueryIsEncoded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a05%26b%3D1"), percentEncoded("a05&b=1"));
        CPPUNIT_ASSERT_EQUAL(std::string("a02%25zz%2B%20%23%3F%2F"), percentEncoded("a02%zz+ #?/"));
        CPPUNIT_ASSERT_EQUAL(std::string("keyed.a-b_c~9"), percentEncoded("keyed.a-b_c~9"));
    }

    void bytesThatAreNoTextAreEncoded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("%00%0D%0A%7F%C3%A9%FF"), percentEncoded(std::string("\0\r\n\x7f\xc3\xa9\xff", 7)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(query_target_test);
