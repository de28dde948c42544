#pragma once

namespace chervilbend::node
{

/// Signals that arrive before the process can handle them. SIGTERM, SIGINT and SIGHUP are held from the load of the program on, and SIGPIPE is ignored: a
/// reader of the log lines that goes away must not end the process.
class start_signals
{
public:
    /// Lets the signals through, those that have arrived before as well. To be called when their handlers are installed.
    static void release();
};

} // namespace chervilbend::node
