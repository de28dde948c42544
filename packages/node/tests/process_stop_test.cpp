#include "log_file.hpp"
#include "node_program.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <utility>

using namespace chervilbend::node::test;

namespace
{

/// A caller's connection to a port of 127.0.0.1.
class caller_connection
{
public:
    explicit caller_connection(std::uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        CPPUNIT_ASSERT_EQUAL(0, ::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address));
    }

    ~caller_connection()
    {
        ::close(m_socket);
    }

    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;

    void send(std::string_view text) const
    {
        ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// All bytes until the other side closes the connection.
    std::string readToEnd() const
    {
        std::string received;
        char block[1024];
        ssize_t size = 0;
        while ((size = ::recv(m_socket, block, sizeof block, 0)) > 0) {
            received.append(block, static_cast<std::size_t>(size));
        }
        return received;
    }

private:
    int m_socket;
};

} // namespace

/// Guards against a planned stop of the real program that cuts requests.
class process_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_stop_test);
    CPPUNIT_TEST(repeatedStopSignalCutsNoRequest);
    CPPUNIT_TEST(signalsInSeriesDoNotChangeTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A supervisor may repeat the signal, or send it to the process and to its group.
    void repeatedStopSignalCutsNoRequest()
    {
        for (const auto &[first, second] : {std::pair(SIGTERM, SIGTERM), std::pair(SIGTERM, SIGINT), std::pair(SIGINT, SIGTERM)}) {
            node_program program;
            const log_file log;
            program.writeSettings();
            program.releasePorts();
            program.start(log.handle());
            CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
            const caller_connection caller(program.callers.port());
            caller.send("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na");

            program.signal(first);
            CPPUNIT_ASSERT(eventually([&] { return log.count("signal") == 1; }));
            program.signal(second);
            CPPUNIT_ASSERT(eventually([&] { return log.count("signal") == 2 || !program.isRunning(); }));

            caller.send("b");
            const std::string answer = caller.readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
            CPPUNIT_ASSERT_EQUAL(0, program.stop());
        }
    }

    /// The last signals come while the program has finished its work and removes its handlers.
    void signalsInSeriesDoNotChangeTheEnd()
    {
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round) {
            node_program program;
            program.writeSettings();
            program.releasePorts();
            program.start();
            CPPUNIT_ASSERT(eventually([&] { return isListening(program.callers.port()) || !program.isRunning(); }));
            while (program.isRunning()) {
                program.signal(SIGTERM);
                program.signal(SIGHUP);
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            CPPUNIT_ASSERT_EQUAL(0, program.stop());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_stop_test);
