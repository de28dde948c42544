#pragma once

#include <fstream>
#include <string>

namespace chervilbend::load
{

/// Appends lines to a file and flushes after each one, so that an interrupted run keeps its history.
class history_writer
{
public:
    explicit history_writer(const std::string &path)
        : m_file(path, std::ios::app)
    {
    }

    bool isOpen() const
    {
        return m_file.is_open();
    }

    void write(const std::string &line)
    {
        m_file << line << '\n' << std::flush;
    }

private:
    std::ofstream m_file;
};

} // namespace chervilbend::load
