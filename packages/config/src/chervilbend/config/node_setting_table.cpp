#include <chervilbend/config/node_setting_table.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/node_settings.hpp>
#include <chervilbend/config/quantity.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>

namespace chervilbend::config
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t minKeyLength = 16;
constexpr std::array<std::string_view, 6> logLevels{"TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL"};

bool isIpNumber(const std::string &text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    unsigned port = 0;
    const std::string_view portText = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc{} || end != portText.data() + portText.size() || port == 0 || port > 65'535) {
        return false;
    }
    const std::string_view ip = text.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']')) {
        return isIpNumber(std::string(ip.substr(1, ip.size() - 2)), AF_INET6);
    }
    return isIpNumber(std::string(ip), AF_INET);
}

std::string outOfRange(const std::string &value, const std::string &range)
{
    return concat({value, " is out of range, ", range});
}

node_setting nameSetting(std::string name, std::string help, std::string node_settings::*member)
{
    const auto set = [member](node_settings &settings, std::string_view text) -> std::string {
        const auto isAllowed = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
        };
        if (text.empty() || text.size() > maxNameLength || !std::all_of(text.begin(), text.end(), isAllowed)) {
            return concat({"\"", text, "\" is not a name of 1 to 64 letters, digits, '.', '_' or '-'"});
        }
        settings.*member = text;
        return {};
    };
    return {std::move(name), "name", "1 to 64 characters", {}, std::move(help), set, [member](const node_settings &settings) {
                return settings.*member;
            }};
}

node_setting addressSetting(std::string name, std::string help, std::string node_settings::*member)
{
    const auto set = [member](node_settings &settings, std::string_view text) -> std::string {
        if (!isAddress(text)) {
            return concat({"\"", text, "\" is not IP:PORT with a port of 1 to 65535; names are not resolved"});
        }
        settings.*member = text;
        return {};
    };
    return {std::move(name), "IP:PORT", "port 1 to 65535", {}, std::move(help), set, [member](const node_settings &settings) {
                return settings.*member;
            }};
}

/// An address that may be omitted; the text "none" stands for an empty value.
node_setting optionalAddressSetting(std::string name, std::string help, std::string node_settings::*member)
{
    node_setting setting = addressSetting(std::move(name), std::move(help), member);
    setting.defaultText = "none";
    setting.set = [member, setAddress = setting.set](node_settings &settings, std::string_view text) -> std::string {
        if (text == "none") {
            (settings.*member).clear();
            return {};
        }
        return setAddress(settings, text);
    };
    setting.show = [member](const node_settings &settings) {
        return (settings.*member).empty() ? std::string("none") : settings.*member;
    };
    return setting;
}

node_setting fractionSetting(std::string name, std::string unit, double minimum, double maximum, std::string help, double node_settings::*member)
{
    const auto show = [](double value) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%g", value);
        return std::string(text.data());
    };
    const std::string range = concat({show(minimum), " to ", show(maximum)});
    const auto set = [member, minimum, maximum, range](node_settings &settings, std::string_view text) -> std::string {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size()) {
            return concat({"\"", text, "\" is not a number"});
        }
        if (value < minimum || value > maximum) {
            return outOfRange(std::string(text), range);
        }
        settings.*member = value;
        return {};
    };
    return {std::move(name), std::move(unit), range, show(node_settings().*member), std::move(help), set, [member, show](const node_settings &settings) {
                return show(settings.*member);
            }};
}

node_setting flagSetting(std::string name, std::string help, bool node_settings::*member)
{
    const auto set = [member](node_settings &settings, std::string_view text) -> std::string {
        if (text != "true" && text != "false") {
            return concat({"\"", text, "\" is neither true nor false"});
        }
        settings.*member = text == "true";
        return {};
    };
    return {std::move(name), "flag", "true, false", node_settings().*member ? "true" : "false", std::move(help), set, [member](const node_settings &settings) {
                return std::string(settings.*member ? "true" : "false");
            }};
}

node_setting logLevelSetting()
{
    const auto set = [](node_settings &settings, std::string_view text) -> std::string {
        if (std::find(logLevels.begin(), logLevels.end(), text) == logLevels.end()) {
            return concat({"\"", text, "\" is none of TRACE, DEBUG, INFO, WARN, ERROR, FATAL"});
        }
        settings.logLevel = text;
        return {};
    };
    return {"logLevel",
            "level",
            "TRACE, DEBUG, INFO, WARN, ERROR, FATAL",
            "INFO",
            "Lowest level of log lines that are written",
            set,
            [](const node_settings &settings) {
                return settings.logLevel;
            }};
}

node_setting keysSetting()
{
    const auto set = [](node_settings &settings, std::string_view text) -> std::string {
        std::vector<std::string> keys;
        for (std::size_t start = 0; start <= text.size();) {
            const std::size_t end = std::min(text.find(',', start), text.size());
            keys.emplace_back(text.substr(start, end - start));
            start = end + 1;
        }
        // Fault messages are logged, so they never contain a secret.
        if (keys.size() > 2) {
            return "more than 2 secrets";
        }
        if (std::any_of(keys.begin(), keys.end(), [](const std::string &key) { return key.size() < minKeyLength; })) {
            return "a secret is shorter than 16 characters";
        }
        if (keys.size() == 2 && keys[0] == keys[1]) {
            return "both secrets are the same";
        }
        settings.keys = std::move(keys);
        return {};
    };
    return {"keys",
            "list of secrets",
            "1 or 2 of at least 16 characters, without ','",
            {},
            "Secrets shared by all nodes; messages are signed with the first, and both are accepted; a change in the file takes effect without a restart",
            set,
            [](const node_settings &settings) {
                return std::to_string(settings.keys.size()) + " (not shown)";
            }};
}

node_setting
    durationSetting(std::string name, base::milliseconds minimum, base::milliseconds maximum, std::string help, base::milliseconds node_settings::*member)
{
    const std::string range = concat({formatDuration(minimum), " to ", formatDuration(maximum)});
    const auto set = [member, minimum, maximum, range](node_settings &settings, std::string_view text) -> std::string {
        const auto value = parseDuration(text);
        if (!value) {
            return concat({"\"", text, "\" is not a time with a unit, such as 30 s or 250 ms"});
        }
        if (*value < minimum || *value > maximum) {
            return outOfRange(formatDuration(*value), range);
        }
        settings.*member = *value;
        return {};
    };
    return {std::move(name), "time", range, formatDuration(node_settings().*member), std::move(help), set, [member](const node_settings &settings) {
                return formatDuration(settings.*member);
            }};
}

node_setting bytesSetting(std::string name, base::byte_count minimum, base::byte_count maximum, std::string help, base::byte_count node_settings::*member)
{
    const std::string range = concat({formatBytes(minimum), " to ", formatBytes(maximum)});
    const auto set = [member, minimum, maximum, range](node_settings &settings, std::string_view text) -> std::string {
        const auto value = parseBytes(text);
        if (!value) {
            return concat({"\"", text, "\" is not a size with a unit, such as 16 KiB"});
        }
        if (*value < minimum || *value > maximum) {
            return outOfRange(formatBytes(*value), range);
        }
        settings.*member = *value;
        return {};
    };
    return {std::move(name), "size", range, formatBytes(node_settings().*member), std::move(help), set, [member](const node_settings &settings) {
                return formatBytes(settings.*member);
            }};
}

node_setting
    numberSetting(std::string name, std::string unit, std::int64_t minimum, std::int64_t maximum, std::string help, std::int64_t node_settings::*member)
{
    const std::string range = concat({std::to_string(minimum), " to ", std::to_string(maximum)});
    const auto set = [member, minimum, maximum, range](node_settings &settings, std::string_view text) -> std::string {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size()) {
            return concat({"\"", text, "\" is not a whole number"});
        }
        if (value < minimum || value > maximum) {
            return outOfRange(std::to_string(value), range);
        }
        settings.*member = value;
        return {};
    };
    return {std::move(name), std::move(unit), range, std::to_string(node_settings().*member), std::move(help), set, [member](const node_settings &settings) {
                return std::to_string(settings.*member);
            }};
}

std::vector<node_setting> makeTable()
{
    using namespace std::chrono_literals;
    constexpr base::byte_count kib{1024};
    constexpr base::byte_count mib{1024 * 1024};
    constexpr base::byte_count gib{1024 * 1024 * 1024};
    using s = node_settings;
    return {
        nameSetting("node", "Name of this node, unique among all nodes", &s::node),
        nameSetting("zone", "Availability zone of this node", &s::zone),
        addressSetting("listen", "Listening address for callers", &s::listen),
        addressSetting("peerListen", "Listening address for other nodes and operators", &s::peerListen),
        addressSetting("log", "Address of the platform's log service", &s::log),
        addressSetting("hosts", "Address of the service with the platform's list of hosts", &s::hosts),
        addressSetting("store", "Address of the platform's weight store", &s::store),
        optionalAddressSetting("metadataStore",
                               "Address of the platform's metadata store; if set, the node runs on that platform, and log, hosts, store and keys are not used",
                               &s::metadataStore),
        optionalAddressSetting("readyListen", "Listening address for the platform's readiness checks", &s::readyListen),
        optionalAddressSetting("metricsListen", "Listening address for metrics requests", &s::metricsListen),
        keysSetting(),
        logLevelSetting(),
        flagSetting("jsonLog", "Write log lines as JSON objects to standard output instead of text to standard error", &s::jsonLog),
        durationSetting(
            "leaseTerm", 2s, 60s, "Time after a holder's last heartbeat until it gives up its leases; at least twice heartbeatInterval", &s::leaseTerm),
        durationSetting("leaseMargin", 100ms, 30s, "Time that other nodes wait beyond leaseTerm before they take over a lease", &s::leaseMargin),
        durationSetting("heartbeatInterval", 500ms, 30s, "Time between two heartbeats of a node that holds leases", &s::heartbeatInterval),
        durationSetting(
            "quarantine", 10s, 24h, "Time until commands of a failed lease owner are no longer expected at engines that do not check fencing", &s::quarantine),
        durationSetting("checkpointInterval", 10s, 24h, "Time between two checkpoints; at most a quarter of the log's retention time", &s::checkpointInterval),
        durationSetting("keyLifetime", 1min, 24h, "Time for which an idempotency key is stored", &s::keyLifetime),
        durationSetting("reportInterval", 200ms, 60s, "Time between two reads of an endpoint's load report", &s::reportInterval),
        durationSetting("hostInterval", 200ms, 60s, "Time between two reads of the list of hosts", &s::hostInterval),
        durationSetting("balancerWait", 0ms, 5min, "Time after SIGTERM for the load balancer to detect that the node is not ready", &s::balancerWait),
        durationSetting("shutdownBound", 1s, 1h, "Maximum time from SIGTERM to the end of the process; more than balancerWait", &s::shutdownBound),
        bytesSetting("headerLimit", kib, mib, "Maximum size of a request header", &s::headerLimit),
        bytesSetting("bodyLimit", kib, gib, "Maximum size of a request body", &s::bodyLimit),
        bytesSetting("bufferLimit",
                     mib,
                     gib,
                     "Maximum memory for the responses that are kept until they can be forwarded, and again for requests that are being read or answered",
                     &s::bufferLimit),
        numberSetting("connectionLimit",
                      "connections",
                      1,
                      1'000'000,
                      "Maximum number of open connections of callers; three quarters of the file descriptors at most",
                      &s::connectionLimit),
        durationSetting("readTimeout", 100ms, 10min, "Maximum time to receive a request's header, and again to receive its body", &s::readTimeout),
        durationSetting("writeTimeout", 100ms, 10min, "Maximum time for a caller to receive one part of a response", &s::writeTimeout),
        durationSetting("idleTimeout", 100ms, 1h, "Maximum time between two requests on a connection", &s::idleTimeout),
        numberSetting("queueLength", "requests", 1, 1'000'000, "Maximum number of waiting requests per pool", &s::queueLength),
        numberSetting("retryPercent", "% of requests", 0, 100, "Retry budget", &s::retryPercent),
        numberSetting(
            "longWorkPercent", "% of slots", 1, 100, "Maximum share of an endpoint's slots for long work while short work is declared", &s::longWorkPercent),
        durationSetting(
            "drainTime", 100ms, 10min, "Time for which an endpoint still accepts requests after its registration marks it as leaving", &s::drainTime),
        durationSetting("commandGap", 0ms, 10min, "Minimum time between commands of two nodes to one engine", &s::commandGap),
        flagSetting("enginesCheckFencing", "Whether engines reject commands with a fencing token lower than one they have seen", &s::enginesCheckFencing),
        fractionSetting("processorShare",
                        "of a core",
                        0.01,
                        1'024,
                        "Processor time of this node; nodes with little of it command the engines only if there are no others",
                        &s::processorShare),
        fractionSetting("linkRate", "Mbit/s", 0.1, 100'000, "Rate of this node's network link, of which updates to other nodes use a part", &s::linkRate),
        fractionSetting("retryShare", "of a service's requests", 0, 1, "Maximum share of retries to a service's endpoints, over all nodes", &s::retryShare),
        fractionSetting("retryBurst", "requests", 0, 1'000'000, "Retries that are allowed in addition to retryShare, over all nodes", &s::retryBurst),
        durationSetting("retryWindow",
                        0ms,
                        10min,
                        "Period over which retries are limited to retryShare of the requests plus retryBurst; with 0 s, a token bucket is used instead",
                        &s::retryWindow),
        flagSetting("estimatedRetryAfter",
                    "Whether refused callers of the platform are told when another attempt would probably succeed, instead of 0.2 s, or 1 s where no endpoint "
                    "holds the model",
                    &s::estimatedRetryAfter),
        flagSetting("sharedEndpointFailures",
                    "Whether nodes tell each other which endpoints refuse connections, and avoid those that others have reported",
                    &s::sharedEndpointFailures),
        durationSetting("loadWindow", 100ms, 10min, "Period over which loads from the weight store are counted", &s::loadWindow),
        fractionSetting("loadOvershoot", "of the store's rate", 0.1, 10, "Loads from the weight store that may start within loadWindow", &s::loadOvershoot),
        durationSetting(
            "configurationBound",
            100ms,
            10min,
            "Time after which a new version of the configuration is in force on all nodes; a node whose configuration the store has not confirmed for "
            "longer answers an unknown key with 503 instead of 401",
            &s::configurationBound),
        flagSetting(
            "strictRevocation", "Refuse requests that need a key when the configuration has not been confirmed for revocationBound", &s::strictRevocation),
        durationSetting("revocationBound", 100ms, 10min, "With strictRevocation, how long a removed key may still be accepted", &s::revocationBound),
        numberSetting("configurationCopies",
                      "copies",
                      0,
                      8,
                      "Copies of the configuration that the nodes keep in the metadata store, for nodes that start while a part of it is unavailable",
                      &s::configurationCopies),
        numberSetting("storeRecordLimit", "bytes", 1'024, 1'000'000'000, "Size of the longest record that the metadata store takes", &s::storeRecordLimit),
        fractionSetting("storeReadRate", "MB/s", 0.1, 100'000, "Rate at which the metadata store answers the reads of all nodes together", &s::storeReadRate),
        fractionSetting(
            "quotaOvershoot", "of an account's quota", 0, 1, "By how much all nodes together may exceed the quota of an account", &s::quotaOvershoot),
        numberSetting("seed", "number", 0, 1'000'000'000, "Seed of the random number generator, for tests; 0 uses a random seed", &s::seed),
    };
}

} // namespace

const std::vector<node_setting> &nodeSettingTable()
{
    static const std::vector<node_setting> table = makeTable();
    return table;
}

std::string printSettings(const node_settings &settings)
{
    std::string text;
    for (const node_setting &setting : nodeSettingTable()) {
        std::array<char, 512> line{};
        std::snprintf(line.data(),
                      line.size(),
                      "%-18s %-20s # %s; %s; default %s; %s\n",
                      setting.name.c_str(),
                      setting.show(settings).c_str(),
                      setting.unit.c_str(),
                      setting.range.c_str(),
                      setting.defaultText.empty() ? "none, required" : setting.defaultText.c_str(),
                      setting.help.c_str());
        text += line.data();
    }
    return text;
}

std::string settingsPage()
{
    std::string text =
        "# Settings of a node\n"
        "\n"
        "This page is generated from the table in `packages/config/src/chervilbend/config/node_setting_table.cpp`; a test compares the two.\n"
        "\n"
        "A node reads its settings from a YAML file, `chervilbend --settings FILE`. Each setting except `keys` can also be given as a flag, which takes\n"
        "precedence: `--logLevel DEBUG`. An unknown key or a value out of range prevents the node from starting; the message names the line and, for an\n"
        "unknown key, the nearest known key. `--print-settings` prints all settings with their values. Times and sizes are written with a unit, such as\n"
        "`250 ms` or `16 KiB`.\n"
        "\n"
        "| setting | value | range | default | meaning |\n"
        "|---|---|---|---|---|\n";
    for (const node_setting &setting : nodeSettingTable()) {
        text += concat({"| `",
                        setting.name,
                        "` | ",
                        setting.unit,
                        " | ",
                        setting.range,
                        " | ",
                        setting.defaultText.empty() ? "required" : setting.defaultText,
                        " | ",
                        setting.help,
                        " |\n"});
    }
    return text;
}

} // namespace chervilbend::config
