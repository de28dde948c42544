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

/// Makes the call; without a value, the error is printed and @p code set.
std::optional<Json::Value>
    ask(const char *method, const Json::Value &parameters, const net::address &node, node_client &caller, command_output &output, exit_code &code)
{
    auto answer = caller.call(node, method, parameters, callTimeout);
    if (!answer) {
        const base::reason &why = caller.lastReason();
        const bool isTransport =
            why.kind == base::error_kind::peerUnavailable || why.kind == base::error_kind::endpointRefused || why.kind == base::error_kind::unauthorized;
        code = isTransport ? exit_code::nodeUnavailable : exit_code::rejected;
        output.error(why.text);
        return std::nullopt;
    }
    code = exit_code::done;
    output.document(*answer);
    return answer;
}

std::string bytesOf(const Json::Value &object, const char *name)
{
    return config::formatBytes(base::byte_count(numberOf(object, name)));
}

std::string count(const Json::Value &object, const char *name)
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
                                    bytesOf(endpoint, "reserved"),
                                    " of ",
                                    bytesOf(endpoint, "memory"),
                                    " reserved",
                                    flagOf(endpoint, "checksFencing") ? "" : "  does not check fencing"}));
        for (const Json::Value &item : listOf(endpoint, "items")) {
            output.line(config::concat({"    ", textOf(item, "item"), "  ", textOf(item, "state"), "  ", bytesOf(item, "bytes")}));
        }
    }
}

} // namespace

exit_code runStatus(const net::address &node, node_client &caller, command_output &output)
{
    exit_code code = exit_code::done;
    const auto status = ask("status", Json::Value(Json::objectValue), node, caller, output, code);
    if (!status) {
        return code;
    }
    const Json::Value &log = (*status)["log"];
    output.line(config::concat({"node ",
                                textOf(*status, "node"),
                                " has folded the log up to ",
                                count(*status, "folded"),
                                "; the log is ",
                                flagOf(log, "reachable") ? "reachable" : "not reachable",
                                ", last answer ",
                                count(log, "ageMs"),
                                " ms ago with head ",
                                count(log, "head")}));
    output.line("services:");
    for (const Json::Value &service : listOf(*status, "services")) {
        output.line(config::concat({"  ",
                                    textOf(service, "service"),
                                    "  version ",
                                    count(service, "version"),
                                    " by ",
                                    textOf(service, "author"),
                                    "  ",
                                    count(service, "models"),
                                    " models, ",
                                    count(service, "routes"),
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
        output.line(config::concat({"  ", textOf(lease, "lease"), "  ", holder.empty() ? "free" : holder, "  token ", count(lease, "token")}));
    }
    return code;
}

exit_code runHistory(const std::string &service, const net::address &node, node_client &caller, command_output &output)
{
    Json::Value parameters(Json::objectValue);
    parameters["service"] = service;
    exit_code code = exit_code::done;
    const auto history = ask("history", parameters, node, caller, output, code);
    if (!history) {
        return code;
    }
    for (const Json::Value &publish : listOf(*history, "publishes")) {
        output.line(config::concat({"version ",
                                    count(publish, "version"),
                                    " by ",
                                    textOf(publish, "author"),
                                    " on ",
                                    count(publish, "base"),
                                    ": ",
                                    textOf(publish, "state"),
                                    " (publish ",
                                    textOf(publish, "publishId"),
                                    ")"}));
        if (const std::string why = textOf(publish, "why"); !why.empty()) {
            output.line("  " + why);
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
                  node_client &caller,
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
    const auto diff = ask("diff", parameters, node, caller, output, code);
    if (!diff) {
        return code;
    }
    output.line(config::concat({"from version ", count(*diff, "from"), " to version ", count(*diff, "to"), ":"}));
    const Json::Value lines = listOf(*diff, "lines");
    for (const Json::Value &line : lines) {
        output.line("  " + (line.isString() ? line.asString() : std::string()));
    }
    if (lines.empty()) {
        output.line("  no difference");
    }
    return code;
}

exit_code runDay(const std::string &date, const net::address &node, node_client &caller, command_output &output)
{
    Json::Value parameters(Json::objectValue);
    if (!date.empty()) {
        parameters["date"] = date;
    }
    exit_code code = exit_code::done;
    const auto day = ask("day", parameters, node, caller, output, code);
    if (day) {
        const std::string text = textOf(*day, "text");
        output.line(text.substr(0, text.find_last_not_of('\n') + 1));
    }
    return code;
}

} // namespace chervilbend::ctl::commands
