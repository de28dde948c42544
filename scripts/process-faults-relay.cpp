/// Relay of scripts/process-faults between the nodes and the store, whose connections can go silent.
/// usage: process-faults-relay IP:PORT TARGET_IP:PORT
///
/// SIGUSR1 holds back all bytes to the target and SIGUSR2 all bytes from it, until SIGHUP lets them pass; nothing is lost meanwhile, as on a link whose packets
/// are sent again. SIGALRM makes the connections that are open then silent until their caller closes.
#include "http.hpp"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <csignal>
#include <thread>

#include <unistd.h>

namespace
{

constexpr std::int64_t holdPollMs = 10;
constexpr std::int64_t connectMs = 1'000;

std::atomic<bool> g_holdsRequests{false}, g_holdsAnswers{false};
/// Connections of an older generation are silent.
std::atomic<int> g_generation{0};

void pump(int from, int to, const std::atomic<bool> &isHeld, int generation)
{
    std::array<char, 16'384> buffer;
    for (ssize_t size = 0; (size = ::read(from, buffer.data(), buffer.size())) > 0;) {
        while (isHeld) {
            standin::sleepMs(holdPollMs);
        }
        if (generation == g_generation && ::send(to, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) != size) {
            break;
        }
    }
    if (generation == g_generation) {
        ::shutdown(to, SHUT_WR);
    }
}

void serve(int caller, const std::string &address)
{
    const int generation = g_generation;
    const int target = standin::connectTo(address, connectMs);
    if (target >= 0) {
        std::thread back(pump, target, caller, std::cref(g_holdsAnswers), generation);
        pump(caller, target, g_holdsRequests, generation);
        ::shutdown(target, SHUT_RDWR);
        back.join();
        ::close(target);
    }
    ::close(caller);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    const int listener = standin::listenOn(argv[1]);
    if (listener < 0) {
        return 2;
    }
    std::signal(SIGUSR1, [](int) { g_holdsRequests = true; });
    std::signal(SIGUSR2, [](int) { g_holdsAnswers = true; });
    std::signal(SIGHUP, [](int) {
        g_holdsRequests = false;
        g_holdsAnswers = false;
    });
    std::signal(SIGALRM, [](int) { ++g_generation; });
    while (true) {
        const int caller = ::accept(listener, nullptr, nullptr);
        if (caller >= 0) {
            std::thread(serve, caller, std::string(argv[2])).detach();
        }
    }
}
