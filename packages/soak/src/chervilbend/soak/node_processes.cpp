#include <chervilbend/soak/node_processes.hpp>

#include <chervilbend/soak/socket_inode.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string_view>
#include <system_error>

namespace chervilbend::soak
{

namespace
{

/// As a shell reports them.
constexpr int endedBySignal = 128;
/// A stop that had to cut requests off.
constexpr int cutOffStatus = 3;
/// A signal before the program's own code runs has its default action (docs/incidents/process-start.md).
constexpr long earlySignalMs = 100;

/// Whether it is a line of the JSON log on a configuration or a topic that could not be read, or on a condition that is missing.
bool tellsOfReadiness(const std::string &line)
{
    const auto has = [&](std::string_view part) {
        return line.find(part) != std::string::npos;
    };
    const bool isOfReads = has(R"("part":"store")") || has(R"("part":"config")");
    return has(R"("event":"notReady")") || has(R"("event":"newestIncomplete")") || (isOfReads && (has(R"("level":"WARN")") || has(R"("level":"ERROR")")));
}

/// At most the hard limit. Does nothing if the process has ended.
void limitDescriptors(pid_t process, rlim_t count)
{
    rlimit limit{};
    if (::prlimit(process, RLIMIT_NOFILE, nullptr, &limit) == 0) {
        limit.rlim_cur = std::min(count, limit.rlim_max);
        ::prlimit(process, RLIMIT_NOFILE, &limit, nullptr);
    }
}

} // namespace

node_processes::node_processes(const soak_options &options)
    : m_options(options)
{
}

void node_processes::writeSettings() const
{
    const soak_ports ports(m_options);
    const auto address = [](std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port) + "\n";
    };
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        std::ofstream(m_options.folder + "/" + nodeName(node) + ".yaml")
            << "node: " << nodeName(node) << "\nzone: a\nlisten: " << address(ports.callers(node)) << "readyListen: " << address(ports.ready(node))
            << "peerListen: " << address(ports.peers(node)) << "metadataStore: " << address(ports.sharedStore())
            << "metricsListen: " << address(ports.metrics(node))
            << "jsonLog: true\nbalancerWait: 2500 ms\nprocessorShare: 0.25\nlinkRate: 1000.0\nshutdownBound: 8 s\ndrainTime: 2000 ms\ncommandGap: 3000 ms\n"
               "enginesCheckFencing: true\nretryShare: 0.2\nretryBurst: 52\nloadWindow: 5 s\nloadOvershoot: 1.1\n";
    }
}

std::optional<pid_t> node_processes::signal(std::size_t node, int number)
{
    const std::optional<pid_t> process = processOf(node);
    if (process) {
        signalProcess(*process, number);
    }
    return process;
}

std::optional<pid_t> node_processes::processOf(std::size_t node) const
{
    std::ifstream file(m_options.folder + "/" + nodeName(node) + ".pid");
    pid_t process = 0;
    if (!(file >> process) || process <= 0) {
        return std::nullopt;
    }
    return process;
}

std::optional<std::size_t> node_processes::ownerOf(std::uint16_t port) const
{
    const std::optional<std::uint32_t> inode = inodeOfSocket(port, soak_ports(m_options).sharedStore());
    const std::string socket = "socket:[" + std::to_string(inode.value_or(0)) + "]";
    for (std::size_t node = 0; node < m_options.nodes && inode; ++node) {
        std::error_code error;
        std::filesystem::directory_iterator descriptor("/proc/" + std::to_string(processOf(node).value_or(0)) + "/fd", error);
        for (; !error && descriptor != std::filesystem::directory_iterator(); descriptor.increment(error)) {
            std::error_code ignored;
            if (std::filesystem::read_symlink(descriptor->path(), ignored) == socket) {
                return node;
            }
        }
    }
    return std::nullopt;
}

std::optional<pid_t> node_processes::stopOpeningDescriptors(std::size_t node)
{
    const std::optional<pid_t> process = processOf(node);
    std::error_code error;
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process.value_or(0)) + "/fd", error);
    if (!process || error) {
        return std::nullopt;
    }
    limitDescriptors(*process, static_cast<rlim_t>(std::distance(begin(descriptors), end(descriptors))));
    return process;
}

void node_processes::resumeOpeningDescriptors(pid_t process)
{
    limitDescriptors(process, RLIM_INFINITY);
}

void node_processes::signalProcess(pid_t process, int number)
{
    if (::kill(process, number) != 0) {
        return;
    }
    if (number == SIGKILL) {
        m_killed.insert(process);
    } else if (number == SIGTERM) {
        m_stopped.insert(process);
    }
}

std::vector<std::string> node_processes::unexpectedEnds() const
{
    std::vector<std::string> unexpected;
    std::ifstream ends(m_options.folder + "/ends");
    for (std::string line; std::getline(ends, line);) {
        std::istringstream words(line);
        std::string name;
        pid_t process = 0;
        int status = 0;
        long lifetime = 0;
        words >> name >> process >> status >> lifetime;
        const bool wasKilled = status == endedBySignal + SIGKILL && m_killed.contains(process);
        const bool wasStopped = (status == 0 || status == cutOffStatus) && m_stopped.contains(process);
        const bool wasEarly = (status == endedBySignal + SIGTERM || status == endedBySignal + SIGHUP) && lifetime < earlySignalMs;
        if (!wasKilled && !wasStopped && !wasEarly) {
            unexpected.push_back(line);
        }
    }
    return unexpected;
}

std::vector<std::string> node_processes::readinessLines(std::size_t node) const
{
    constexpr std::size_t maxLines = 6;
    constexpr std::size_t maxLength = 400;
    std::deque<std::string> last;
    std::ifstream log(m_options.folder + "/" + nodeName(node) + ".log");
    for (std::string line; std::getline(log, line);) {
        if (tellsOfReadiness(line)) {
            last.push_back(line.substr(0, maxLength));
            if (last.size() > maxLines) {
                last.pop_front();
            }
        }
    }
    return {last.begin(), last.end()};
}

std::string nodeName(std::size_t node)
{
    return "front-" + std::to_string(node + 1);
}

std::string runningProgram(const soak_options &options, std::size_t node)
{
    std::ifstream file(options.folder + "/" + nodeName(node) + ".program");
    std::string name;
    file >> name;
    return name;
}

} // namespace chervilbend::soak
