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
