#include <chervilbend/base/log.hpp>
#include <chervilbend/config/node_setting_table.hpp>
#include <chervilbend/node/composition/node_process.hpp>
#include <chervilbend/node/composition/platform_node.hpp>
#include <chervilbend/node/composition/start_signals.hpp>
#include <chervilbend/node/settings/setting_flags.hpp>
#include <chervilbend/node/settings/settings_file.hpp>
#include <chervilbend/platform/readiness_handler.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <iostream>

DEFINE_string(settings, "", "YAML file with the node's settings; by default the one that the platform provides");
DEFINE_bool(print_settings, false, "Print all settings with unit, range and default, and exit");

namespace
{

using namespace chervilbend;

/// Exit codes.
constexpr int invalidSettings = 2;
constexpr int requestsAborted = 3;
constexpr int internalFailure = 4;

template<typename Process>
int runNode(const config::node_settings &settings, node::settings_file &file)
try {
    Process process(settings, file);
    const std::optional<std::size_t> abortedRequests = process.run();
    node::start_signals::hold();
    if (!abortedRequests) {
        std::cerr << "chervilbend: " << process.lastReason().text << '\n';
        return invalidSettings;
    }
    return *abortedRequests == 0 ? EXIT_SUCCESS : requestsAborted;
} catch (const std::exception &failure) {
    std::cerr << "chervilbend: " << failure.what() << '\n';
    return internalFailure;
}

} // namespace

/// Runs one node until SIGTERM or SIGINT. Exit codes: 0 after a shutdown that aborted no request, 2 if the node cannot start, for example
/// because of invalid settings, 3 if requests were aborted, 4 after an internal failure.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("--settings FILE [--SETTING=VALUE...]: runs a node");
    node::defineSettingFlags();
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    node::settings_file file(FLAGS_settings.empty() ? platform::settingsPath() : FLAGS_settings);
    const std::optional<config::node_settings> settings =
        file.loadWhenComplete(node::givenSettingFlags(), [] { return FLAGS_print_settings || node::start_signals::isStopPending(); });
    if (FLAGS_print_settings) {
        std::cout << config::printSettings(settings.value_or(config::node_settings()));
        return EXIT_SUCCESS;
    }
    if (!settings && node::start_signals::isStopPending()) {
        std::cerr << "chervilbend: stopped before its settings were complete\n";
        return EXIT_SUCCESS;
    }
    if (!settings) {
        for (const config::fault &fault : file.faults()) {
            std::cerr << "chervilbend: " << config::toString(fault) << '\n';
        }
        return invalidSettings;
    }
    if (settings->jsonLog) {
        base::configureJsonLogging(settings->logLevel);
    } else {
        base::configureLogging(settings->logLevel);
    }
    if (settings->metadataStore.empty()) {
        return runNode<node::node_process>(*settings, file);
    }
    return runNode<node::platform_node>(*settings, file);
}
