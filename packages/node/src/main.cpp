#include <chervilbend/base/log.hpp>
#include <chervilbend/config/node_setting_table.hpp>
#include <chervilbend/node/composition/node_process.hpp>
#include <chervilbend/node/composition/platform_node.hpp>
#include <chervilbend/node/settings/setting_flags.hpp>
#include <chervilbend/node/settings/settings_file.hpp>
#include <chervilbend/platform/readiness_handler.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "YAML file with the node's settings; by default the one that the platform has laid");
DEFINE_bool(print_settings, false, "Print all settings with unit, range and default, and exit");

namespace
{

using namespace chervilbend;

/// Exit codes.
constexpr int invalidSettings = 2;
constexpr int requestsCutOff = 3;

template<typename Process>
int runNode(const config::node_settings &settings, node::settings_file &file)
{
    Process process(settings, file);
    const std::optional<std::size_t> cutOff = process.run();
    if (!cutOff) {
        std::cerr << "chervilbend: " << process.lastReason().text << '\n';
        return invalidSettings;
    }
    return *cutOff == 0 ? EXIT_SUCCESS : requestsCutOff;
}

} // namespace

/// Runs one node until SIGTERM. Exits 0 after a stop that cut no request, 2 for invalid settings, 3 when requests were cut off.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("--settings FILE [--SETTING=VALUE...]: runs a node");
    node::defineSettingFlags();
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    node::settings_file file(FLAGS_settings.empty() ? platform::settingsPath() : FLAGS_settings);
    const std::optional<config::node_settings> settings = file.load(node::givenSettingFlags());
    if (FLAGS_print_settings) {
        std::cout << config::printSettings(settings.value_or(config::node_settings()));
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
