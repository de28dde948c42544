#include <chervilbend/base/log.hpp>
#include <chervilbend/fakes/servers/engine_server.hpp>
#include <chervilbend/fakes/servers/host_server.hpp>
#include <chervilbend/fakes/servers/log_server.hpp>
#include <chervilbend/fakes/servers/order_server.hpp>
#include <chervilbend/fakes/servers/store_server.hpp>
#include <chervilbend/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(role, "", "log, hosts, store, engine or orders");
DEFINE_string(listen, "", "IP:PORT to listen on; port 0 selects a free port");
DEFINE_string(log_level, "INFO", "Minimum severity of log messages");
DEFINE_uint64(seed, 1, "Seed for random faults");

DEFINE_int64(retention_ms, 3'600'000, "log: retention period of records in milliseconds");
DEFINE_uint64(max_records, 1'000'000, "log: maximum number of records in a stream");

DEFINE_string(hosts_file, "", "hosts: JSON file with the initial list, in the format of GET /hosts");
DEFINE_int64(lag_ms, 0, "hosts, engine: age of the list or report in milliseconds");

DEFINE_double(loads_per_second, 2, "store: maximum number of model loads started per second");
DEFINE_int32(slots, 4, "store: concurrent model loads at full speed");
DEFINE_int32(adapter_slots, 30, "store: concurrent adapter loads at full speed");

DEFINE_int64(memory_mib, 81'920, "engine: accelerator memory in MiB");
DEFINE_bool(checks_fencing, true, "engine: refuse commands with an outdated fencing token");
DEFINE_string(store, "", "engine: IP:PORT of the fake weight store");
DEFINE_uint64(batch_size, 16, "engine: maximum number of running requests");
DEFINE_uint64(queue_length, 64, "engine: maximum number of queued requests");
DEFINE_double(token_ms, 10, "engine: milliseconds per generated token of a request that runs alone");
DEFINE_double(batch_slope, 0.05, "engine: fraction of token_ms added by each other running request");
DEFINE_int64(cache_tokens, 100'000, "engine: capacity of the prefix cache in tokens");
DEFINE_string(crash_marker, "", "engine: a prompt that contains this text terminates the process; empty to disable");

DEFINE_string(service, "orders", "orders: name of the service");

namespace
{

using namespace chervilbend;

constexpr int invalidFlags = 2;
constexpr std::int64_t bytesPerMebibyte = 1'048'576;

std::unique_ptr<fakes::fake_server> makeLog()
{
    fakes::log_store_options options;
    options.retention = base::milliseconds(FLAGS_retention_ms);
    options.maxRecords = FLAGS_max_records;
    options.seed = FLAGS_seed;
    return std::make_unique<fakes::log_server>(options);
}

std::unique_ptr<fakes::fake_server> makeHosts()
{
    auto server = std::make_unique<fakes::host_server>(base::milliseconds(FLAGS_lag_ms));
    if (!FLAGS_hosts_file.empty()) {
        std::ifstream file(FLAGS_hosts_file, std::ios::binary);
        std::ostringstream document;
        document << file.rdbuf();
        if (!server->load(document.str())) {
            std::cerr << "chervilbend-fakes: --hosts_file is not a valid list of hosts\n";
            return nullptr;
        }
    }
    return server;
}

std::unique_ptr<fakes::fake_server> makeStore()
{
    external::weight_store_status limits;
    limits.loadsPerSecond = FLAGS_loads_per_second;
    limits.slots = FLAGS_slots;
    limits.adapterSlots = FLAGS_adapter_slots;
    return std::make_unique<fakes::store_server>(limits, FLAGS_seed);
}

std::unique_ptr<fakes::fake_server> makeEngine()
{
    fakes::engine_server_options options;
    options.engine.memory = base::byte_count(FLAGS_memory_mib * bytesPerMebibyte);
    options.engine.checksFencing = FLAGS_checks_fencing;
    options.engine.reportLag = base::milliseconds(FLAGS_lag_ms);
    // The start time distinguishes successive incarnations of an engine.
    options.engine.incarnation = base::incarnation(base::clock::wallNow().count());
    if (!FLAGS_store.empty()) {
        options.store = net::parseAddress(FLAGS_store);
        if (!options.store) {
            std::cerr << "chervilbend-fakes: --store is not IP:PORT\n";
            return nullptr;
        }
    }
    options.batchSize = FLAGS_batch_size;
    options.queueLength = FLAGS_queue_length;
    options.tokenMs = FLAGS_token_ms;
    options.batchSlope = FLAGS_batch_slope;
    options.cacheTokens = base::token_count(FLAGS_cache_tokens);
    options.crashMarker = FLAGS_crash_marker;
    options.seed = FLAGS_seed;
    return std::make_unique<fakes::engine_server>(options);
}

std::unique_ptr<fakes::fake_server> makeServer()
{
    if (FLAGS_role == "log") {
        return makeLog();
    }
    if (FLAGS_role == "hosts") {
        return makeHosts();
    }
    if (FLAGS_role == "store") {
        return makeStore();
    }
    if (FLAGS_role == "engine") {
        return makeEngine();
    }
    if (FLAGS_role == "orders") {
        return std::make_unique<fakes::order_server>(FLAGS_service, FLAGS_seed);
    }
    std::cerr << "chervilbend-fakes: --role must be log, hosts, store, engine or orders\n";
    return nullptr;
}

int serveUntilSignal(const net::address &listenAddress, fakes::fake_server &handler)
{
    boost::asio::io_context context(1);
    const auto server = std::make_shared<net::http_server>(context.get_executor(), handler);
    const std::optional<std::uint16_t> port = server->listen(listenAddress);
    if (!port) {
        std::cerr << "chervilbend-fakes: " << server->lastReason().text << '\n';
        return EXIT_FAILURE;
    }
    LOG4CXX_INFO(base::partLogger("fakes"), "role " << FLAGS_role << " listening on " << net::toString({listenAddress.ip, *port}));
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

/// Runs one fake until SIGINT or SIGTERM. Exit status: 2 for invalid flags, 1 when the address cannot be bound.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("--role=ROLE --listen=IP:PORT: runs a fake platform service, engine or plain service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    base::configureLogging(FLAGS_log_level);
    const std::optional<net::address> listenAddress = net::parseAddress(FLAGS_listen);
    if (!listenAddress) {
        std::cerr << "chervilbend-fakes: --listen is not IP:PORT\n";
        return invalidFlags;
    }
    const std::unique_ptr<fakes::fake_server> server = makeServer();
    return server ? serveUntilSignal(*listenAddress, *server) : invalidFlags;
}
