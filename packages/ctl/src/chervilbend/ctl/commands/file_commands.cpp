#include <chervilbend/ctl/commands/file_commands.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/ctl/commands/command_output.hpp>
#include <chervilbend/ctl/service_directory.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace chervilbend::ctl::commands
{

namespace
{

/// Most severe first.
constexpr std::array codesBySeverity{exit_code::rejected, exit_code::nodeUnavailable, exit_code::undecided, exit_code::notInForceEverywhere};

Json::Value faultsJson(const config::service_set &set)
{
    Json::Value faults(Json::arrayValue);
    for (const config::fault &item : set.faults) {
        Json::Value json(Json::objectValue);
        json["file"] = item.file;
        json["line"] = item.line;
        json["key"] = item.key;
        json["text"] = item.text;
        faults.append(std::move(json));
    }
    return faults;
}

Json::Value linesJson(const std::vector<std::string> &lines)
{
    Json::Value array(Json::arrayValue);
    for (const std::string &line : lines) {
        array.append(line);
    }
    return array;
}

const char *stateOf(const publish_result &result)
{
    switch (result.code) {
    case exit_code::done:
        return result.publishId.empty() ? "unchanged" : "accepted";
    case exit_code::notInForceEverywhere:
        return "accepted";
    case exit_code::rejected:
        return "rejected";
    case exit_code::nodeUnavailable:
        return "notSent";
    default:
        return "unknown";
    }
}

Json::Value resultJson(const publish_result &result)
{
    Json::Value json(Json::objectValue);
    json["service"] = result.service;
    json["state"] = stateOf(result);
    json["publishId"] = result.publishId;
    json["base"] = static_cast<Json::Int64>(result.base);
    json["version"] = static_cast<Json::Int64>(result.version);
    json["nodesInForce"] = result.nodesInForce;
    json["nodesKnown"] = result.nodesKnown;
    json["changes"] = linesJson(result.changes);
    json["outcome"] = linesJson(result.outcome);
    return json;
}

void printResult(const publish_result &result, command_output &output)
{
    output.line(result.service + ':');
    if (!result.publishId.empty()) {
        output.line("  publish " + result.publishId + ", " + (result.base > 0 ? "replaces version " + std::to_string(result.base) : "a new service"));
    }
    for (const std::string &line : result.changes) {
        output.line("    " + line);
    }
    for (const std::string &line : result.outcome) {
        output.line("  " + line);
    }
}

/// Reports the errors in the files; returns false if there are any.
bool reportFaults(const config::service_set &set, command_output &output)
{
    Json::Value json(Json::objectValue);
    json["files"] = static_cast<Json::Int64>(set.files);
    json["faults"] = faultsJson(set);
    for (const config::fault &item : set.faults) {
        output.line(toString(item));
    }
    if (!set.faults.empty()) {
        output.document(json);
        output.error(std::to_string(set.faults.size()) + (set.faults.size() == 1 ? " error in " : " errors in ") + std::to_string(set.files) + " files");
    }
    return set.faults.empty();
}

} // namespace

exit_code runCheck(const std::string &directory, command_output &output)
{
    const config::service_set set = readServiceDirectory(directory);
    if (!reportFaults(set, output)) {
        return exit_code::invalidFiles;
    }
    Json::Value json(Json::objectValue);
    json["files"] = static_cast<Json::Int64>(set.files);
    json["faults"] = Json::Value(Json::arrayValue);
    json["services"] = Json::Value(Json::arrayValue);
    for (const config::service_declaration &declaration : set.declarations) {
        json["services"].append(declaration.service.value());
        output.line(config::concat(
            {declaration.service.value(), ": ", std::to_string(declaration.models.size()), " models, ", std::to_string(declaration.routes.size()), " routes"}));
    }
    output.line(std::to_string(set.files) + " files without errors; whether the models fit into memory is checked by publish");
    output.document(json);
    return exit_code::done;
}

exit_code runPublish(const std::string &directory, node_client &client, publisher::options options, publisher::sleep_function sleep, command_output &output)
{
    const config::service_set set = readServiceDirectory(directory);
    if (!reportFaults(set, output)) {
        return exit_code::invalidFiles;
    }
    for (const auto &[service, base] : options.bases) {
        if (std::ranges::find(set.declarations, base::service_id(service), &config::service_declaration::service) == set.declarations.end()) {
            output.error("--base names service \"" + service + "\", which no file declares");
            return exit_code::usageError;
        }
    }
    publisher servicePublisher(client, std::move(options), std::move(sleep));
    const auto results = servicePublisher.publish(set.declarations);
    if (!results) {
        output.error(servicePublisher.lastReason().text + "; nothing was sent");
        return exit_code::nodeUnavailable;
    }
    Json::Value json(Json::objectValue);
    json["services"] = Json::Value(Json::arrayValue);
    for (const publish_result &result : *results) {
        printResult(result, output);
        json["services"].append(resultJson(result));
    }
    output.document(json);
    for (const exit_code code : codesBySeverity) {
        if (std::ranges::find(*results, code, &publish_result::code) != results->end()) {
            return code;
        }
    }
    return exit_code::done;
}

} // namespace chervilbend::ctl::commands
