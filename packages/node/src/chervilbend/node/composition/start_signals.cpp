#include <chervilbend/node/composition/start_signals.hpp>

#include <csignal>
#include <initializer_list>

namespace chervilbend::node
{

namespace
{

sigset_t heldSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    return signals;
}

void holdAtStart(int /*argc*/, char ** /*argv*/, char ** /*environment*/)
{
    start_signals::hold();
    for (const int signal : {SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGXFSZ}) {
        std::signal(signal, SIG_IGN);
    }
}

/// Functions in this section run before the constructors of the shared libraries, which take some milliseconds.
[[gnu::section(".preinit_array"), gnu::used]] void (*const holdAtLoad)(int, char **, char **) = holdAtStart;

} // namespace

void start_signals::release()
{
    const sigset_t signals = heldSignals();
    sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

bool start_signals::isStopPending()
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

void start_signals::hold()
{
    const sigset_t signals = heldSignals();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace chervilbend::node
