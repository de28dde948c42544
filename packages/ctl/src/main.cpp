#include <chervilbend/base/log.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/ctl/commands/command_output.hpp>
#include <chervilbend/ctl/commands/file_commands.hpp>
#include <chervilbend/ctl/commands/query_commands.hpp>
#include <chervilbend/ctl/key_file.hpp>
#include <chervilbend/ctl/signed_node_client.hpp>

#include <gflags/gflags.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

DECLARE_bool(help);
DEFINE_string(node, "", "IP:PORT of the peers' port of any node");
DEFINE_string(key, "", "File with the nodes' shared secret; a second line may hold the second one during a rotation");
DEFINE_bool(json, false, "Print the result as one JSON document");
DEFINE_string(author, "", "Name under which a change is published; default: the environment's USER");
DEFINE_string(wait, "10 s", "publish: how long to wait until each service is decided and in force on all known nodes");
DEFINE_string(base, "", "publish: SERVICE=VERSION[,...]: versions that the files build on; default: those in force now");
DEFINE_int64(from, -1, "diff: first version; 0 for the time before the first publish");
DEFINE_int64(to, -1, "diff: second version");
DEFINE_string(date, "", "day: YYYY-MM-DD in UTC; default: today");

namespace
{

using namespace chervilbend;
using namespace chervilbend::ctl;

const char *const usage =
    "works with a running system:\n"
    "  chervilctl check DIR             reads the service files below DIR and reports all errors\n"
    "  chervilctl publish DIR           publishes what differs from what is in force, and reports what became of it\n"
    "  chervilctl status                services, nodes, endpoints and leases as a node sees them\n"
    "  chervilctl history SERVICE       publishes of a service, newest first\n"
    "  chervilctl diff SERVICE          what the version in force changed; --from and --to name other versions\n"
    "  chervilctl day                   the daily page as text; --date names another day\n"
    "All but check need --node IP:PORT and --key SECRET-FILE. --json prints JSON.\n"
    "Exit codes: 0 done, 1 wrong usage, 2 errors in files, 3 rejected, 4 not known yet, 5 accepted but not seen in force on all known nodes,\n"
    "6 node not reached or key refused";

exit_code usageError(const std::string &text)
{
    std::cerr << "chervilctl: " << text << "; chervilctl --help shows the usage\n";
    return exit_code::usageError;
}

std::optional<std::map<std::string, std::int64_t>> parseBases(const std::string &text)
{
    std::map<std::string, std::int64_t> bases;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        const std::string item = text.substr(start, end - start);
        const std::size_t equals = item.find('=');
        std::int64_t version = -1;
        if (equals != std::string::npos) {
            const auto [last, error] = std::from_chars(item.data() + equals + 1, item.data() + item.size(), version);
            version = error == std::errc{} && last == item.data() + item.size() ? version : -1;
        }
        if (version < 0) {
            return std::nullopt;
        }
        bases[item.substr(0, equals)] = version;
        start = end + 1;
    }
    return bases;
}

std::optional<publisher::options> publishOptions(const net::address &node)
{
    publisher::options options;
    options.node = node;
    const char *user = std::getenv("USER");
    options.author = !FLAGS_author.empty() ? FLAGS_author : user && *user ? user : "";
    const auto wait = config::parseDuration(FLAGS_wait);
    const auto bases = parseBases(FLAGS_base);
    if (!wait) {
        usageError("--wait \"" + FLAGS_wait + "\" is not a time with a unit, such as 10 s");
    } else if (!bases) {
        usageError("--base \"" + FLAGS_base + "\" is not SERVICE=VERSION[,...]");
    } else if (options.author.empty()) {
        usageError("--author is required where the environment has no USER");
    } else {
        options.wait = *wait;
        options.bases = *bases;
        return options;
    }
    return std::nullopt;
}

std::optional<std::int64_t> version(std::int64_t flag)
{
    return flag < 0 ? std::nullopt : std::optional(flag);
}

exit_code runWithNode(const std::string &command, const std::string &argument, commands::command_output &output)
{
    const auto node = net::parseAddress(FLAGS_node);
    if (!node) {
        return usageError("--node \"" + FLAGS_node + "\" is not IP:PORT");
    }
    key_file keys(FLAGS_key);
    const auto secrets = keys.read();
    if (!secrets) {
        return usageError("--key: " + keys.lastReason().text);
    }
    signed_node_client client(*secrets);
    if (command == "publish") {
        const auto options = publishOptions(*node);
        const auto sleep = [](base::milliseconds duration) {
            std::this_thread::sleep_for(duration);
        };
        return options ? commands::runPublish(argument, client, *options, sleep, output) : exit_code::usageError;
    }
    if (command == "status") {
        return commands::runStatus(*node, client, output);
    }
    if (command == "history") {
        return commands::runHistory(argument, *node, client, output);
    }
    if (command == "diff") {
        return commands::runDiff(argument, version(FLAGS_from), version(FLAGS_to), *node, client, output);
    }
    return commands::runDay(FLAGS_date, *node, client, output);
}

exit_code run(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return usageError("no command given");
    }
    const std::string &command = arguments[0];
    const bool takesArgument = command == "check" || command == "publish" || command == "history" || command == "diff";
    if (!takesArgument && command != "status" && command != "day") {
        return usageError("unknown command \"" + command + '"');
    }
    if (arguments.size() != (takesArgument ? 2 : 1)) {
        return usageError(command + (takesArgument ? " takes one argument" : " takes no argument"));
    }
    commands::command_output output(std::cout, std::cerr, FLAGS_json);
    if (command == "check") {
        return commands::runCheck(arguments[1], output);
    }
    return runWithNode(command, takesArgument ? arguments[1] : std::string(), output);
}

} // namespace

/// Command-line tool for operators.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        // gflags' own handling exits with 1 and lists the flags of all libraries.
        gflags::ShowUsageWithFlagsRestrict(argv[0], "main.cpp");
        return 0;
    }
    base::configureLogging("ERROR");
    return static_cast<int>(run(std::vector<std::string>(argv + 1, argv + argc)));
}
