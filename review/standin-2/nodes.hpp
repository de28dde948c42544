#pragma once

// Starts nodes with the command of deploy/system.toml and settings as deploy/node.yaml renders them for a small deployment, and ends them by their ids.

#include "http.hpp"

#include <csignal>
#include <fstream>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

struct node {
    std::string name;
    std::string settings;
    std::string log;
    int frontPort = 0;
    int readyPort = 0;
    pid_t process = -1;

    void start(const std::string &program)
    {
        process = ::fork();
        if (process == 0) {
            // Also if this program is ended by a signal.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            for (int handle = 3; handle < 1'024; ++handle) {
                ::close(handle);
            }
            ::setenv("CHERVILBEND_NODE_FILE", settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (process > 0) {
            ::kill(process, number);
        }
    }

    /// Kills the process and waits for its end.
    void end()
    {
        if (process > 0) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
            process = -1;
        }
    }

    bool isReady() const
    {
        const int handle = connectTo(readyPort);
        if (handle < 0) {
            return false;
        }
        channel platform(handle);
        platform.limitReads(1'000);
        platform.write("GET /api/readiness HTTP/1.1\r\nHost: platform\r\n\r\n");
        const std::optional<message_head> head = platform.readHead();
        return head && head->second == "200";
    }
};

inline node makeNode(const std::string &folder, const std::string &name, const std::string &zone, int storePort)
{
    node made;
    made.name = name;
    made.settings = folder + '/' + name + ".yaml";
    made.log = folder + '/' + name + ".log";
    made.frontPort = freePort();
    made.readyPort = freePort();
    const std::string host = "127.0.0.1:";
    std::ofstream(made.settings) << "node: " << name << "\nzone: " << zone << "\nlisten: " << host << made.frontPort << "\nreadyListen: " << host
                                 << made.readyPort << "\npeerListen: " << host << freePort() << "\nmetadataStore: " << host << storePort
                                 << "\nmetricsListen: " << host << freePort()
                                 << "\njsonLog: true\nbalancerWait: 2500 ms\nprocessorShare: 0.25\nlinkRate: 1000.0\nshutdownBound: 8 s\ndrainTime: 2000 ms\n"
                                    "commandGap: 3000 ms\nenginesCheckFencing: true\nretryShare: 0.2\nretryBurst: 52\nloadWindow: 5 s\nloadOvershoot: 1.1\n"
                                    "configurationBound: 2000 ms\nconfigurationCopies: 3\n";
    return made;
}

inline bool awaitReady(const std::vector<node> &nodes, std::int64_t limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    for (const node &each : nodes) {
        while (!each.isReady()) {
            if (nowMs() > until) {
                return false;
            }
            sleepMs(50);
        }
    }
    return true;
}

} // namespace review
