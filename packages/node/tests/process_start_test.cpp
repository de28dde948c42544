#include "log_file.hpp"
#include "node_program.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend::node::test;

/// Guards against a process that does not start, or ends by itself, for a reason that passes or that does not concern its requests.
class process_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_start_test);
    CPPUNIT_TEST(portInUseIsWaitedFor);
    CPPUNIT_TEST(metricsPortInUseDoesNotStopTheNode);
    CPPUNIT_TEST(stopsWhileItWaitsForAPort);
    CPPUNIT_TEST(signalsAreHeldUntilTheyCanBeHandled);
    CPPUNIT_TEST(loaderMapsOnlyLibrariesWithoutArchive);
    CPPUNIT_TEST(outlivesTheReaderOfItsLogLines);
    CPPUNIT_TEST(outlivesTheSizeLimitOfItsLogFile);
    CPPUNIT_TEST(missingSettingsAreWaitedFor);
    CPPUNIT_TEST(stopsWhileItWaitsForItsSettings);
    CPPUNIT_TEST(signalsWithoutAMeaningDoNotEndIt);
    CPPUNIT_TEST(invalidSettingsEndIt);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A process of before may still hold the port, or a connection of another one may have it as its local port.
    void portInUseIsWaitedFor()
    {
        for (occupied_port node_program::*last : {&node_program::callers, &node_program::ready, &node_program::peers}) {
            node_program program;
            program.writeSettings();
            const std::uint16_t port = (program.*last).port();
            for (occupied_port node_program::*other : {&node_program::callers, &node_program::ready, &node_program::peers, &node_program::metrics}) {
                if (other != last) {
                    (program.*other).release();
                }
            }
            program.start();
            CPPUNIT_ASSERT(eventually([&] { return isListening(program.metrics.port()) || !program.isRunning(); }));
            CPPUNIT_ASSERT_MESSAGE("the program ended", program.isRunning());
            (program.*last).release();
            CPPUNIT_ASSERT(eventually([&] { return isListening(port); }));
            CPPUNIT_ASSERT_EQUAL(0, program.stop());
        }
    }

    void metricsPortInUseDoesNotStopTheNode()
    {
        node_program program;
        program.writeSettings();
        program.callers.release();
        program.ready.release();
        program.peers.release();
        program.start();
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    void stopsWhileItWaitsForAPort()
    {
        node_program program;
        program.writeSettings();
        program.metrics.release();
        program.start();
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.metrics.port()) || !program.isRunning(); }));
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    /// The settings come through a pipe, so that the program is certainly in its start when the signal comes.
    void signalsAreHeldUntilTheyCanBeHandled()
    {
        for (const int number : {SIGHUP, SIGTERM}) {
            node_program program;
            program.releasePorts();
            CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(program.settingsPath().c_str(), 0600));
            program.start();
            {
                std::ofstream settings(program.settingsPath());
                program.signal(number);
                settings << program.settings();
            }
            if (number == SIGHUP) {
                CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
                CPPUNIT_ASSERT_MESSAGE("the signal ended the program", program.isRunning());
            }
            CPPUNIT_ASSERT_EQUAL(0, program.stop());
        }
    }

    /// A signal during the loader's work ends the process, and each shared library that it maps lengthens that time.
    void loaderMapsOnlyLibrariesWithoutArchive()
    {
        node_program program;
        program.writeSettings();
        program.releasePorts();
        program.start();
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
        const std::string mapped = program.mappedFiles();
        CPPUNIT_ASSERT_MESSAGE(mapped, mapped.find("/libc.so.") != std::string::npos);
        for (const char *library :
             {"libssl", "libcrypto", "libboost_", "libyaml-cpp", "libgflags", "libjsonrpccpp-", "libxxhash", "libmicrohttpd", "libgnutls"}) {
            CPPUNIT_ASSERT_MESSAGE(library, mapped.find('/' + std::string(library)) == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    void outlivesTheReaderOfItsLogLines()
    {
        node_program program;
        program.writeSettings();
        program.releasePorts();
        int ends[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe2(ends, O_CLOEXEC));
        program.start(ends[1]);
        ::close(ends[1]);
        ::close(ends[0]);
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    /// A write beyond the limit sends SIGXFSZ.
    void outlivesTheSizeLimitOfItsLogFile()
    {
        const log_file lines;
        node_program program;
        program.writeSettings();
        program.releasePorts();
        program.start(lines.handle());
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
        program.limitFileSize(1);
        program.signal(SIGHUP);
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    /// The platform may replace the file, or write it, at the moment of the start.
    void missingSettingsAreWaitedFor()
    {
        node_program program;
        program.releasePorts();
        const log_file lines;
        program.start(std::nullopt, lines.handle());
        CPPUNIT_ASSERT(eventually([&] { return lines.contains("waiting for ") || !program.isRunning(); }));
        CPPUNIT_ASSERT_MESSAGE("the program ended", program.isRunning());
        program.writeSettings();
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    void stopsWhileItWaitsForItsSettings()
    {
        node_program program;
        const log_file lines;
        program.start(std::nullopt, lines.handle());
        CPPUNIT_ASSERT(eventually([&] { return lines.contains("waiting for ") || !program.isRunning(); }));
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    void signalsWithoutAMeaningDoNotEndIt()
    {
        node_program program;
        program.writeSettings();
        program.releasePorts();
        program.start();
        CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
        for (const int number : {SIGUSR1, SIGUSR2, SIGALRM, SIGPIPE}) {
            program.signal(number);
        }
        CPPUNIT_ASSERT_EQUAL(0, program.stop());
    }

    void invalidSettingsEndIt()
    {
        node_program program;
        std::ofstream(program.settingsPath()) << "node: n1\nunknown: 1\n";
        program.start();
        CPPUNIT_ASSERT(eventually([&] { return !program.isRunning(); }));
        CPPUNIT_ASSERT_EQUAL(2, program.stop());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_start_test);
