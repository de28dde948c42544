#pragma once

#include <chervilbend/ctl/exit_code.hpp>
#include <chervilbend/ctl/publisher.hpp>

#include <string>

namespace chervilbend::ctl::commands
{

class command_output;

/// "check DIR": reads the service files and reports all errors.
exit_code runCheck(const std::string &directory, command_output &output);

/// "publish DIR": publishes the declarations that differ from those in force and reports the results. The exit code is the most severe one
/// of all services; in descending order of severity: rejected, nodeUnavailable, undecided, notInForceEverywhere, done.
exit_code runPublish(const std::string &directory, node_client &client, publisher::options options, publisher::sleep_function sleep, command_output &output);

} // namespace chervilbend::ctl::commands
