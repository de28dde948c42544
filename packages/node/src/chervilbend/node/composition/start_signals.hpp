#pragma once

namespace chervilbend::node
{

/// Signals that arrive while the process has no handlers for them. SIGTERM, SIGINT and SIGHUP are held from the load of the program on, and again from the end
/// of its work on. SIGPIPE is ignored: a reader of the log lines that goes away must not end the process. So are signals without a meaning here, such as
/// SIGUSR1.
class start_signals
{
public:
    /// Lets the signals through, those that have arrived before as well. To be called when their handlers are installed.
    static void release();
    /// Whether a signal that asks the process to stop is being held.
    static bool isStopPending();
    /// Holds them again. To be called before their handlers are removed.
    static void hold();
};

} // namespace chervilbend::node
