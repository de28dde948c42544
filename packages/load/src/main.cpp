#include <chervilbend/base/log.hpp>
#include <chervilbend/ctl/key_file.hpp>
#include <chervilbend/ctl/signed_node_client.hpp>
#include <chervilbend/load/checks/invariant_check.hpp>
#include <chervilbend/load/history_json.hpp>
#include <chervilbend/load/load_run.hpp>
#include <chervilbend/load/system_watch.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_bool(check, false, "Check the invariants against the history files named by --history");
DEFINE_bool(watch, false, "Watch engines, services and nodes until SIGTERM, then read the counts of runs");
DEFINE_string(history, "", "File that is added to; with --check the files to read, separated by commas");
DEFINE_string(nodes, "", "IP:PORT,...: callers' ports of the nodes");
DEFINE_string(peers, "", "watch: IP:PORT,...: peer ports of the same nodes, in the same order");
DEFINE_string(key, "", "watch: file with the nodes' shared secret");
DEFINE_string(engines, "", "watch: ID=IP:PORT,...");
DEFINE_string(services, "", "watch: ID=IP:PORT,...: instances of the order service");
DEFINE_string(models, "", "NAME,...: models that callers ask for");
DEFINE_string(adapter, "", "Adapter that each model has; empty for none");
DEFINE_string(orders, "", "Path of the route for orders; empty for none");
DEFINE_int64(seconds, 10, "Duration of the load");
DEFINE_int64(patience_ms, 20'000, "How long a caller goes on with one request");
DEFINE_int32(chat_callers, 8, "Callers of streamed chats");
DEFINE_int32(batch_callers, 4, "Callers of long batch requests");
DEFINE_int32(order_callers, 6, "Callers of orders");
DEFINE_uint64(seed, 1, "Seed of the callers' choices");

namespace
{

using namespace chervilbend;
using namespace chervilbend::load;

constexpr int invalidFlags = 2;
constexpr int breachFound = 3;
/// Breaches printed for each invariant; the rest is counted.
constexpr std::size_t mostPrinted = 8;

volatile bool stopRequested = false;

std::vector<std::string> split(const std::string &text)
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
    for (const std::string &part : split(text)) {
        const std::optional<net::address> where = net::parseAddress(part);
        if (!where) {
            return false;
        }
        addresses.push_back(*where);
    }
    return true;
}

bool parseNamed(const std::string &text, std::map<std::string, net::address> &named)
{
    for (const std::string &part : split(text)) {
        const std::size_t equals = part.find('=');
        const std::optional<net::address> where = equals == std::string::npos ? std::nullopt : net::parseAddress(part.substr(equals + 1));
        if (!where) {
            return false;
        }
        named.emplace(part.substr(0, equals), *where);
    }
    return true;
}

int wrongFlags(const std::string &text)
{
    std::cerr << "chervilbend-load: " << text << '\n';
    return invalidFlags;
}

int runLoad()
{
    load_options options;
    if (!parseAddresses(FLAGS_nodes, options.nodes) || options.nodes.empty()) {
        return wrongFlags("--nodes is not IP:PORT,...");
    }
    options.models = split(FLAGS_models);
    options.adapter = FLAGS_adapter;
    options.orderPath = FLAGS_orders;
    options.duration = base::milliseconds(FLAGS_seconds * 1'000);
    options.patience = base::milliseconds(FLAGS_patience_ms);
    options.chatCallers = options.models.empty() ? 0 : FLAGS_chat_callers;
    options.batchCallers = options.models.empty() ? 0 : FLAGS_batch_callers;
    options.orderCallers = FLAGS_order_callers;
    options.seed = FLAGS_seed;
    history_writer history(FLAGS_history);
    if (!history.isOpen()) {
        return wrongFlags("--history cannot be written");
    }
    load_run(std::move(options), history).run();
    return EXIT_SUCCESS;
}

int runWatch()
{
    watch_options options;
    std::vector<net::address> callers;
    std::vector<net::address> peers;
    if (!parseAddresses(FLAGS_nodes, callers) || !parseAddresses(FLAGS_peers, peers) || callers.size() != peers.size()
        || !parseNamed(FLAGS_engines, options.engines) || !parseNamed(FLAGS_services, options.services)) {
        return wrongFlags("--nodes, --peers, --engines or --services is malformed");
    }
    for (std::size_t index = 0; index < callers.size(); ++index) {
        options.nodes.push_back({callers[index], peers[index]});
    }
    ctl::key_file keys(FLAGS_key);
    const auto secrets = keys.read();
    if (!secrets) {
        return wrongFlags("--key: " + keys.lastReason().text);
    }
    history_writer history(FLAGS_history);
    if (!history.isOpen()) {
        return wrongFlags("--history cannot be written");
    }
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    ctl::signed_node_client caller(*secrets);
    system_watch watch(std::move(options), caller, history);
    watch.run(stopRequested);
    watch.writeRuns();
    return EXIT_SUCCESS;
}

void print(const invariant_check &check, const verdict &found)
{
    const char *const word = found.what == verdict::kind::held ? "held" : found.what == verdict::kind::breached ? "BREACHED" : "not exercised";
    std::cout << check.name() << ": " << word << " (" << found.scope << ")\n";
    for (std::size_t index = 0; index < std::min(found.evidence.size(), mostPrinted); ++index) {
        std::cout << "    " << found.evidence[index] << '\n';
    }
    if (found.evidence.size() > mostPrinted) {
        std::cout << "    and " << found.evidence.size() - mostPrinted << " more\n";
    }
}

int runChecks()
{
    run_history history;
    for (const std::string &path : split(FLAGS_history)) {
        std::ifstream file(path);
        if (!file) {
            return wrongFlags("cannot read " + path);
        }
        readLines(file, history);
    }
    if (history.unreadableLines > 0) {
        std::cout << history.unreadableLines << " lines of the history are not readable\n";
    }
    bool isBreached = false;
    for (const std::unique_ptr<invariant_check> &check : allChecks()) {
        const verdict found = check->check(history);
        isBreached = isBreached || found.what == verdict::kind::breached;
        print(*check, found);
    }
    return isBreached ? breachFound : EXIT_SUCCESS;
}

} // namespace

/// Acts as callers, watches the system, or checks a history. Exits 2 for invalid flags, 3 when an invariant was breached.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("calls several nodes for a while and checks from outside what the system promises");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    base::configureLogging("ERROR");
    if (FLAGS_check) {
        return runChecks();
    }
    return FLAGS_watch ? runWatch() : runLoad();
}
