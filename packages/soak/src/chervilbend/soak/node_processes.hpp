#pragma once

#include <chervilbend/soak/soak_options.hpp>

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::soak
{

/// The nodes' processes, which a supervisor starts and starts again: their settings, signals to them, and how they ended.
///
/// The supervisor writes each process id to "front-N.pid", and a line "front-N PID STATUS LIFETIME_MS" to "ends" for each end.
class node_processes
{
public:
    /// Keeps a reference to the options.
    explicit node_processes(const soak_options &options);

    void writeSettings() const;

    /// Sends the signal to the process that runs now; returns its id, if there is one.
    std::optional<pid_t> signal(std::size_t node, int number);
    /// Lets the process that runs now open no more descriptors than it has; returns its id, if there is one.
    std::optional<pid_t> stopOpeningDescriptors(std::size_t node);
    /// Ends that for a process, which may have ended.
    void resumeOpeningDescriptors(pid_t process);
    /// Sends it to a process that may have ended.
    void signalProcess(pid_t process, int number);

    /// The node whose process has opened the connection from that port of 127.0.0.1 to the shared store, if there is one.
    std::optional<std::size_t> ownerOf(std::uint16_t port) const;

    /// The process that the supervisor started last for the node.
    std::optional<pid_t> processOf(std::size_t node) const;
    /// Whether it was sent SIGTERM.
    bool isStopping(pid_t process) const
    {
        return m_stopped.contains(process);
    }

    /// The last lines that the node has logged on why it is not ready, each shortened.
    std::vector<std::string> readinessLines(std::size_t node) const;

    /// Ends for which no signal of this object is the reason, one a line.
    std::vector<std::string> unexpectedEnds() const;

private:
    const soak_options &m_options;
    std::set<pid_t> m_stopped;
    std::set<pid_t> m_killed;
};

/// The name of a node in the settings, the supervisor's files and the log.
std::string nodeName(std::size_t node);

/// What the supervisor calls the program that it started last for a node, from "front-N.program": during an upgrade nodes run different ones. Empty if there is
/// no such file.
std::string runningProgram(const soak_options &options, std::size_t node);

} // namespace chervilbend::soak
