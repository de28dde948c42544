#include <chervilbend/net/address.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend::net;

/// Guards against settings or host list entries whose address is accepted although it cannot be connected to.
class address_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(address_test);
    CPPUNIT_TEST(parsesBothFamilies);
    CPPUNIT_TEST(refusesInvalidAddresses);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesBothFamilies()
    {
        CPPUNIT_ASSERT(parseAddress("127.0.0.1:80") == (address{"127.0.0.1", 80}));
        CPPUNIT_ASSERT(parseAddress("[::1]:8080") == (address{"::1", 8080}));
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8080"), toString({"::1", 8080}));
    }

    void refusesInvalidAddresses()
    {
        for (const char *text : {"", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "::1:80", "[127.0.0.1]:80"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseAddress(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(address_test);
