#pragma once

#include <chervilbend/ctl/exit_code.hpp>
#include <chervilbend/ctl/node_client.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::ctl::commands
{

class command_output;

/// "status": services, nodes, endpoints and leases as the node sees them.
exit_code runStatus(const net::address &node, node_client &client, command_output &output);

/// "history SERVICE": the publishes of a service, newest first.
exit_code runHistory(const std::string &service, const net::address &node, node_client &client, command_output &output);

/// "diff SERVICE": the differences between two versions; by default, between the version in force and the one that it replaced.
exit_code runDiff(const std::string &service,
                  std::optional<std::int64_t> from,
                  std::optional<std::int64_t> to,
                  const net::address &node,
                  node_client &client,
                  command_output &output);

/// "day": the daily page as text. @p date is "YYYY-MM-DD"; empty for today (UTC).
exit_code runDay(const std::string &date, const net::address &node, node_client &client, command_output &output);

} // namespace chervilbend::ctl::commands
