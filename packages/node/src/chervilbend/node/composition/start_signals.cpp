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

void hold(int /*argc*/, char ** /*argv*/, char ** /*environment*/)
{
    const sigset_t signals = heldSignals();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

/// Functions in this section run before the constructors of the shared libraries, which take some milliseconds.
[[gnu::section(".preinit_array"), gnu::used]] void (*const holdAtLoad)(int, char **, char **) = hold;

} // namespace

void start_signals::release()
{
    const sigset_t signals = heldSignals();
    sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace chervilbend::node
