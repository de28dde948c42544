#include <chervilbend/ctl/commands/query_commands.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/ctl/commands/command_output.hpp>
#include <chervilbend/ctl/rpc_json.hpp>

#include <utility>

namespace chervilbend::ctl::commands
{

namespace
{

constexpr base::milliseconds callTimeout{5'000};

/// Calls a method of the node and sets @p code. On failure, prints the error and returns no value.
std::optional<Json::Value>
    callNode(const char *method, const Json::Value &parameters, const net::address &node, node_client &client, command_output &output, exit_code &code)
{
    auto answer = client.call(node, method, parameters, callTimeout);
    if (!answer) {
        const base::reason &reason = client.lastReason();
        const bool isNodeUnavailable = reason.kind == base::error_kind::peerUnavailable || reason.kind == base::error_kind::endpointRefused
            || reason.kind == base::error_kind::unauthorized;
        code = isNodeUnavailable ? exit_code::nodeUnavailable : exit_code::rejected;
        output.error(reason.text);
        return std::nullopt;
    }
    code = exit_code::done;
    output.document(*answer);
    return answer;
}

std::string bytesText(const Json::Value &object, const char *name)
{
    return config::formatBytes(base::byte_count(numberOf(object, name)));
}

std::string numberText(const Json::Value &object, const char *name)
{
    return std::to_string(numberOf(object, name));
}

void printEndpoints(const Json::Value &status, command_output &output)
{
    output.line("endpoints:");
    for (const Json::Value &endpoint : listOf(status, "endpoints")) {
        output.line(config::concat({"  ",
                                    textOf(endpoint, "endpoint"),
                                    "  zone ",
                                    textOf(endpoint, "zone"),
                                    "  ",
                                    textOf(endpoint, "address"),
                                    "  ",
                                    bytesText(endpoint, "reserved"),
                                    " of ",
                                    bytesText(endpoint, "memory"),
                                    " reserved",
                                    flagOf(endpoint, "checksFencing") ? "" : "  does not check fencing"}));
        for (const Json::Value &item : listOf(endpoint, "items")) {
            output.line(config::concat({"    ", textOf(item, "item"), "  ", textOf(item, "state"), "  ", bytesText(item, "bytes")}));
        }
    }
}

} // namespace

exit_code runStatus(const net::address &node, node_client &client, command_output &output)
{
    exit_code code = exit_code::done;
    const auto status = callNode("status", Json::Value(Json::objectValue), node, client, output, code);
    if (!status) {
        return code;
    }
    const Json::Value &log = (*status)["log"];
    output.line(config::concat({"node ",
                                textOf(*status, "node"),
                                " has folded the log up to ",
                                numberText(*status, "folded"),
                                "; the log is ",
                                flagOf(log, "reachable") ? "reachable" : "not reachable",
                                ", last answer ",
                                numberText(log, "ageMs"),
                                " ms ago with head ",
                                numberText(log, "head")}));
    output.line("services:");
    for (const Json::Value &service : listOf(*status, "services")) {
        output.line(config::concat({"  ",
                                    textOf(service, "service"),
                                    "  version ",
                                    numberText(service, "version"),
                                    " by ",
                                    textOf(service, "author"),
                                    "  ",
                                    numberText(service, "models"),
                                    " models, ",
                                    numberText(service, "routes"),
                                    " routes"}));
    }
    output.line("nodes:");
    for (const Json::Value &peer : listOf(*status, "nodes")) {
        output.line(config::concat({"  ",
                                    textOf(peer, "node"),
                                    "  zone ",
                                    textOf(peer, "zone"),
                                    "  ",
                                    textOf(peer, "address"),
                                    "  ",
                                    textOf(peer, "state"),
                                    flagOf(peer, "leaving") ? ", leaving" : ""}));
    }
    printEndpoints(*status, output);
    output.line("leases:");
    for (const Json::Value &lease : listOf(*status, "leases")) {
        const std::string holder = textOf(lease, "holder");
        output.line(config::concat({"  ", textOf(lease, "lease"), "  ", holder.empty() ? "free" : holder, "  token ", numberText(lease, "token")}));
    }
    return code;
}

exit_code runHistory(const std::string &service, const net::address &node, node_client &client, command_output &output)
{
    Json::Value parameters(Json::objectValue);
    parameters["service"] = service;
    exit_code code = exit_code::done;
    const auto history = callNode("history", parameters, node, client, output, code);
    if (!history) {
        return code;
    }
    for (const Json::Value &publish : listOf(*history, "publishes")) {
        output.line(config::concat({"version ",
                                    numberText(publish, "version"),
                                    " by ",
                                    textOf(publish, "author"),
                                    " on ",
                                    numberText(publish, "base"),
                                    ": ",
                                    textOf(publish, "state"),
                                    " (publish ",
                                    textOf(publish, "publishId"),
                                    ")"}));
        if (const std::string reason = textOf(publish, "why"); !reason.empty()) {
            output.line("  " + reason);
        }
        if (publish["changes"].isNull()) {
            output.line("  what it changed is not known to this node");
        }
        for (const Json::Value &change : listOf(publish, "changes")) {
            output.line("  " + (change.isString() ? change.asString() : std::string()));
        }
    }
    return code;
}

exit_code runDiff(const std::string &service,
                  std::optional<std::int64_t> from,
                  std::optional<std::int64_t> to,
                  const net::address &node,
                  node_client &client,
                  command_output &output)
{
    Json::Value parameters(Json::objectValue);
    parameters["service"] = service;
    if (from) {
        parameters["from"] = static_cast<Json::Int64>(*from);
    }
    if (to) {
        parameters["to"] = static_cast<Json::Int64>(*to);
    }
    exit_code code = exit_code::done;
    const auto diff = callNode("diff", parameters, node, client, output, code);
    if (!diff) {
        return code;
    }
    output.line(config::concat({"from version ", numberText(*diff, "from"), " to version ", numberText(*diff, "to"), ":"}));
    const Json::Value lines = listOf(*diff, "lines");
    for (const Json::Value &line : lines) {
        output.line("  " + (line.isString() ? line.asString() : std::string()));
    }
    if (lines.empty()) {
        output.line("  no difference");
    }
    return code;
}

exit_code runDay(const std::string &date, const net::address &node, node_client &client, command_output &output)
{
    Json::Value parameters(Json::objectValue);
    if (!date.empty()) {
        parameters["date"] = date;
    }
    exit_code code = exit_code::done;
    const auto day = callNode("day", parameters, node, client, output, code);
    if (day) {
        const std::string text = textOf(*day, "text");
        output.line(text.substr(0, text.find_last_not_of('\n') + 1));
    }
    return code;
}

} // namespace chervilbend::ctl::commands
