#include <chervilbend/base/log.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <log4cxx/basicconfigurator.h>

#include <unistd.h>

#include <cstdio>
#include <memory>
#include <string>

using namespace chervilbend::base;

namespace
{

/// What is written to standard error while @p write runs.
template<typename Function>
std::string errorOutputOf(const Function &write)
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE *)> file(std::tmpfile(), &std::fclose);
    CPPUNIT_ASSERT(file);
    const int before = ::dup(STDERR_FILENO);
    ::dup2(::fileno(file.get()), STDERR_FILENO);
    write();
    std::fflush(stderr);
    ::dup2(before, STDERR_FILENO);
    ::close(before);
    std::string text(static_cast<std::size_t>(::lseek(::fileno(file.get()), 0, SEEK_END)), '\0');
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()), ::pread(::fileno(file.get()), text.data(), text.size(), 0));
    return text;
}

std::string lineOf(const std::string &message)
{
    const std::string text = errorOutputOf([&] {
        configureLogging("INFO");
        LOG4CXX_INFO(partLogger("http"), message);
        log4cxx::BasicConfigurator::resetConfiguration();
    });
    const std::size_t start = text.find("INFO ");
    CPPUNIT_ASSERT_MESSAGE(text, start != std::string::npos);
    return text.substr(start);
}

} // namespace

/// Guards against callers who write log lines of their own, or commands for the operator's terminal, by a line break in what they send.
class log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(messageStaysOnItsLine);
    CPPUNIT_TEST_SUITE_END();

public:
    void messageStaysOnItsLine()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("INFO  [http] no service declares \"tall\\3\"\n"), lineOf("no service declares \"tall\\3\""));
        CPPUNIT_ASSERT_EQUAL(std::string("INFO  [http] x\\x0a2026-12-07 03:41:48.400 ERROR [lease] y\\x0d\\x0a\\x1b[2J\\x00\\x7f\n"),
                             lineOf(std::string("x\n2026-12-07 03:41:48.400 ERROR [lease] y\r\n\x1b[2J\0\x7f", 49)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);
