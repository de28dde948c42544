#include <chervilbend/base/log.hpp>
#include <chervilbend/ctl/key_file.hpp>
#include <chervilbend/ctl/signed_node_client.hpp>
#include <chervilbend/load/checks/invariant_check.hpp>
#include <chervilbend/load/history_json.hpp>
#include <chervilbend/load/load_run.hpp>
#include <chervilbend/load/system_monitor.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_bool(check, false, "Check the invariants against the history files named by --history");
DEFINE_bool(watch, false, "Monitor engines, services and nodes until SIGTERM, then read the execution counts");
DEFINE_string(history, "", "File to append to; with --check: comma-separated files to read");
DEFINE_string(nodes, "", "IP:PORT,...: node ports for callers");
DEFINE_string(peers, "", "watch: IP:PORT,...: node ports for peers, in the order of --nodes");
DEFINE_string(key, "", "watch: file with the shared secrets of the nodes");
DEFINE_string(engines, "", "watch: ID=IP:PORT,...: engines");
DEFINE_string(services, "", "watch: ID=IP:PORT,...: instances of the order service");
DEFINE_string(models, "", "NAME,...: models to request");
DEFINE_string(adapter, "", "Adapter that all models have; empty for none");
DEFINE_string(orders, "", "Path of the route for orders; empty for no orders");
DEFINE_int64(seconds, 10, "Duration of the load in seconds");
DEFINE_int64(patience_ms, 20'000, "How long a caller retries one request, in milliseconds");
DEFINE_int32(chat_callers, 8, "Number of callers of streamed chats");
DEFINE_int32(batch_callers, 4, "Number of callers of long batch requests");
DEFINE_int32(order_callers, 6, "Number of callers of orders");
DEFINE_uint64(seed, 1, "Seed for the random choices of the callers");

namespace
{

using namespace chervilbend;
using namespace chervilbend::load;

constexpr int invalidFlags = 2;
constexpr int breachFound = 3;
/// Maximum number of breaches printed for each invariant; the rest are only counted.
constexpr std::size_t maxPrintedBreaches = 8;

volatile bool stopRequested = false;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

bool parseAddresses(const std::string &text, std::vector<net::address> &addresses)
{
    for (const std::string &part : splitList(text)) {
        const std::optional<net::address> address = net::parseAddress(part);
        if (!address) {
            return false;
        }
        addresses.push_back(*address);
    }
    return true;
}

bool parseNamedAddresses(const std::string &text, std::map<std::string, net::address> &named)
{
    for (const std::string &part : splitList(text)) {
        const std::size_t equals = part.find('=');
        const std::optional<net::address> address = equals == std::string::npos ? std::nullopt : net::parseAddress(part.substr(equals + 1));
        if (!address) {
            return false;
        }
        named.emplace(part.substr(0, equals), *address);
    }
    return true;
}

int reportInvalidFlags(const std::string &text)
{
    std::cerr << "chervilbend-load: " << text << '\n';
    return invalidFlags;
}

int runLoad()
{
    load_options options;
    if (!parseAddresses(FLAGS_nodes, options.nodes) || options.nodes.empty()) {
        return reportInvalidFlags("--nodes is not IP:PORT,...");
    }
    options.models = splitList(FLAGS_models);
    options.adapter = FLAGS_adapter;
    options.orderPath = FLAGS_orders;
    options.duration = base::milliseconds(FLAGS_seconds * 1'000);
    options.retryTimeout = base::milliseconds(FLAGS_patience_ms);
    options.chatCallers = options.models.empty() ? 0 : FLAGS_chat_callers;
    options.batchCallers = options.models.empty() ? 0 : FLAGS_batch_callers;
    options.orderCallers = FLAGS_order_callers;
    options.seed = FLAGS_seed;
    history_writer history(FLAGS_history);
    if (!history.isOpen()) {
        return reportInvalidFlags("--history cannot be written");
    }
    load_run(std::move(options), history).run();
    return EXIT_SUCCESS;
}

int runMonitor()
{
    monitor_options options;
    std::vector<net::address> callers;
    std::vector<net::address> peers;
    if (!parseAddresses(FLAGS_nodes, callers) || !parseAddresses(FLAGS_peers, peers) || callers.size() != peers.size()
        || !parseNamedAddresses(FLAGS_engines, options.engines) || !parseNamedAddresses(FLAGS_services, options.services)) {
        return reportInvalidFlags("--nodes, --peers, --engines or --services is malformed");
    }
    for (std::size_t index = 0; index < callers.size(); ++index) {
        options.nodes.push_back({callers[index], peers[index]});
    }
    ctl::key_file keys(FLAGS_key);
    const auto secrets = keys.read();
    if (!secrets) {
        return reportInvalidFlags("--key: " + keys.lastReason().text);
    }
    history_writer history(FLAGS_history);
    if (!history.isOpen()) {
        return reportInvalidFlags("--history cannot be written");
    }
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    ctl::signed_node_client caller(*secrets);
    system_monitor monitor(std::move(options), caller, history);
    monitor.run(stopRequested);
    monitor.writeRuns();
    return EXIT_SUCCESS;
}

void print(const invariant_check &check, const check_result &result)
{
    const char *const outcome = result.outcome == check_result::kind::held ? "held"
        : result.outcome == check_result::kind::breached                   ? "BREACHED"
                                                                           : "not exercised";
    std::cout << check.name() << ": " << outcome << " (" << result.scope << ")\n";
    for (std::size_t index = 0; index < std::min(result.evidence.size(), maxPrintedBreaches); ++index) {
        std::cout << "    " << result.evidence[index] << '\n';
    }
    if (result.evidence.size() > maxPrintedBreaches) {
        std::cout << "    and " << result.evidence.size() - maxPrintedBreaches << " more\n";
    }
}

int runChecks()
{
    run_history history;
    for (const std::string &path : splitList(FLAGS_history)) {
        std::ifstream file(path);
        if (!file) {
            return reportInvalidFlags("cannot read " + path);
        }
        readLines(file, history);
    }
    if (history.unreadableLines > 0) {
        std::cout << history.unreadableLines << " malformed lines in the history were skipped\n";
    }
    bool isBreached = false;
    for (const std::unique_ptr<invariant_check> &check : allChecks()) {
        const check_result result = check->check(history);
        isBreached = isBreached || result.outcome == check_result::kind::breached;
        print(*check, result);
    }
    return isBreached ? breachFound : EXIT_SUCCESS;
}

} // namespace

/// Generates load, monitors the system, or checks a history. Exit status: 2 for invalid flags, 3 when an invariant was breached.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("generates load on a cluster, monitors it, or checks the recorded history against the invariants");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    base::configureLogging("ERROR");
    if (FLAGS_check) {
        return runChecks();
    }
    return FLAGS_watch ? runMonitor() : runLoad();
}
