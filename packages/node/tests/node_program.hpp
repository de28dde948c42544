#pragma once

#include "occupied_port.hpp"

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

namespace chervilbend::node::test
{

/// Waits until @p condition holds, 20 s at most.
inline bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// Whether a server listens on the port of 127.0.0.1.
inline bool isListening(std::uint16_t port)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool isConnected = ::connect(probe, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    ::close(probe);
    return isConnected;
}

/// The real program, with a settings file in a folder of its own. Ends with its object.
class node_program
{
public:
    node_program()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "node_program.XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()));
        m_directory = pattern;
    }

    ~node_program()
    {
        if (m_process > 0 && !m_status) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
        }
        std::filesystem::remove_all(m_directory);
    }

    node_program(const node_program &) = delete;
    node_program &operator=(const node_program &) = delete;

    std::string settingsPath() const
    {
        return m_directory + "/node.yaml";
    }

    std::string settings() const
    {
        const auto address = [](const occupied_port &port) {
            return "127.0.0.1:" + std::to_string(port.port()) + "\n";
        };
        return "node: " + name + "\nzone: a\njsonLog: true\nbalancerWait: 0 ms\nmetadataStore: " + store + "\nlisten: " + address(callers)
            + "readyListen: " + address(ready) + "peerListen: " + address(peers) + "metricsListen: " + address(metrics);
    }

    void writeSettings() const
    {
        std::ofstream(settingsPath()) << settings();
    }

    /// Starts the program; its standard output is @p output, or is discarded. Its standard error is @p errors, or that of the tests.
    void start(std::optional<int> output = std::nullopt, std::optional<int> errors = std::nullopt)
    {
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        if (output) {
            ::posix_spawn_file_actions_adddup2(&actions, *output, STDOUT_FILENO);
        } else {
            ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        }
        if (errors) {
            ::posix_spawn_file_actions_adddup2(&actions, *errors, STDERR_FILENO);
        }
        std::string program = PROGRAM;
        std::string option = "--settings=" + settingsPath();
        char *arguments[] = {program.data(), option.data(), nullptr};
        const int failure = ::posix_spawn(&m_process, PROGRAM, &actions, nullptr, arguments, environ);
        ::posix_spawn_file_actions_destroy(&actions);
        CPPUNIT_ASSERT_EQUAL(0, failure);
        m_status.reset();
    }

    void signal(int number) const
    {
        CPPUNIT_ASSERT_EQUAL(0, ::kill(m_process, number));
    }

    /// Ends the program without a chance to clean up.
    void kill()
    {
        signal(SIGKILL);
        CPPUNIT_ASSERT(eventually([this] { return !isRunning(); }));
    }

    /// Sets the maximum size, in bytes, of files that the program writes.
    void limitFileSize(rlim_t bytes) const
    {
        const rlimit limit{bytes, bytes};
        CPPUNIT_ASSERT_EQUAL(0, ::prlimit(m_process, RLIMIT_FSIZE, &limit, nullptr));
    }

    bool isRunning()
    {
        if (!m_status) {
            int status = 0;
            if (::waitpid(m_process, &status, WNOHANG) == m_process) {
                m_status = status;
            }
        }
        return !m_status;
    }

    /// The running program's memory mappings with the files behind them, in the form of proc(5).
    std::string mappedFiles() const
    {
        std::ifstream mappings("/proc/" + std::to_string(m_process) + "/maps");
        return {std::istreambuf_iterator<char>(mappings), {}};
    }

    /// Asks the program to stop; returns its exit code, or minus the signal that ended it.
    int stop()
    {
        if (isRunning()) {
            signal(SIGTERM);
        }
        CPPUNIT_ASSERT_MESSAGE("the program does not end", eventually([this] { return !isRunning(); }));
        return WIFEXITED(*m_status) ? WEXITSTATUS(*m_status) : -WTERMSIG(*m_status);
    }

    /// To be set before the settings are written. Nothing listens on the first port.
    std::string store = "127.0.0.1:1";
    std::string name = "n1";

    /// Occupied until a test releases them for the program.
    occupied_port callers;
    occupied_port ready;
    occupied_port peers;
    occupied_port metrics;

    void releasePorts()
    {
        callers.release();
        ready.release();
        peers.release();
        metrics.release();
    }

private:
    std::string m_directory;
    pid_t m_process = -1;
    std::optional<int> m_status;
};

} // namespace chervilbend::node::test
