#pragma once

#include <chervilbend/ctl/exit_code.hpp>
#include <chervilbend/ctl/publisher.hpp>

#include <string>

namespace chervilbend::ctl::commands
{

class command_output;

/// "check DIR": reads the service files and reports all errors.
exit_code runCheck(const std::string &directory, command_output &output);

/// "publish DIR": publishes what differs from what is in force, and reports what became of it. The exit code is that of the service that
/// fared worst: rejected, then not known yet, then not yet everywhere.
exit_code runPublish(const std::string &directory, node_client &caller, publisher::options options, publisher::sleep_function sleep, command_output &output);

} // namespace chervilbend::ctl::commands
