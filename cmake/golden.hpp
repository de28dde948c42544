#pragma once

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

/// Asserts that @p actual is identical to the golden file @p path. If CHERVILBEND_UPDATE_GOLDEN is set in the environment, first overwrites
/// the file, so that the change can be reviewed in the repository.
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
