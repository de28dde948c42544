#pragma once

#include <cppunit/TestAssert.h>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

namespace chervilbend::node::test
{

/// A file that takes the lines of a program.
class log_file
{
public:
    log_file()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "log_file.XXXXXX").string();
        m_handle = ::mkstemp(pattern.data());
        CPPUNIT_ASSERT(m_handle >= 0);
        m_path = pattern;
    }

    ~log_file()
    {
        ::close(m_handle);
        std::filesystem::remove(m_path);
    }

    log_file(const log_file &) = delete;
    log_file &operator=(const log_file &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

    int handle() const
    {
        return m_handle;
    }

    /// Number of lines of the event.
    std::size_t count(std::string_view event) const
    {
        return countLines("\"event\":\"" + std::string(event) + '"');
    }

    bool contains(std::string_view text) const
    {
        return countLines(text) > 0;
    }

private:
    std::size_t countLines(std::string_view text) const
    {
        std::ifstream lines(m_path);
        std::size_t number = 0;
        for (std::string line; std::getline(lines, line);) {
            number += line.find(text) != std::string::npos ? 1U : 0U;
        }
        return number;
    }

    std::string m_path;
    int m_handle;
};

} // namespace chervilbend::node::test
