#pragma once

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

/// Compares @p actual with the reviewed file @p path. With CHERVILBEND_UPDATE_GOLDEN set in the environment, writes the file instead, for
/// review as a difference in the repository.
inline void assertGolden(const std::string &path, const std::string &actual)
{
    if (std::getenv("CHERVILBEND_UPDATE_GOLDEN")) {
        std::ofstream(path, std::ios::binary) << actual;
    }
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream expected;
    expected << stream.rdbuf();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(path, expected.str(), actual);
}
