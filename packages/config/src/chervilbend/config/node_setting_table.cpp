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

constexpr std::size_t longestName = 64;
constexpr std::size_t shortestKey = 16;
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
        if (text.empty() || text.size() > longestName || !std::all_of(text.begin(), text.end(), isAllowed)) {
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

/// Shown as "none" when it is not set.
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

node_setting fractionSetting(std::string name, std::string unit, double least, double most, std::string help, double node_settings::*member)
{
    const auto show = [](double value) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%g", value);
        return std::string(text.data());
    };
    const std::string range = concat({show(least), " to ", show(most)});
    const auto set = [member, least, most, range](node_settings &settings, std::string_view text) -> std::string {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size()) {
            return concat({"\"", text, "\" is not a number"});
        }
        if (value < least || value > most) {
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

node_setting levelSetting()
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
            "Least important log lines that are written",
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
        // The text of a fault goes to logs, so it never quotes a secret.
        if (keys.size() > 2) {
            return "more than 2 secrets";
        }
        if (std::any_of(keys.begin(), keys.end(), [](const std::string &key) { return key.size() < shortestKey; })) {
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
            "Secrets shared by all nodes; the first signs, both are accepted; a change in the file is picked up without a restart",
            set,
            [](const node_settings &settings) {
                return std::to_string(settings.keys.size()) + " (not shown)";
            }};
}

node_setting durationSetting(std::string name, base::milliseconds least, base::milliseconds most, std::string help, base::milliseconds node_settings::*member)
{
    const std::string range = concat({formatDuration(least), " to ", formatDuration(most)});
    const auto set = [member, least, most, range](node_settings &settings, std::string_view text) -> std::string {
        const auto value = parseDuration(text);
        if (!value) {
            return concat({"\"", text, "\" is not a time with a unit, such as 30 s or 250 ms"});
        }
        if (*value < least || *value > most) {
            return outOfRange(formatDuration(*value), range);
        }
        settings.*member = *value;
        return {};
    };
    return {std::move(name), "time", range, formatDuration(node_settings().*member), std::move(help), set, [member](const node_settings &settings) {
                return formatDuration(settings.*member);
            }};
}

node_setting bytesSetting(std::string name, base::byte_count least, base::byte_count most, std::string help, base::byte_count node_settings::*member)
{
    const std::string range = concat({formatBytes(least), " to ", formatBytes(most)});
    const auto set = [member, least, most, range](node_settings &settings, std::string_view text) -> std::string {
        const auto value = parseBytes(text);
        if (!value) {
            return concat({"\"", text, "\" is not a size with a unit, such as 16 KiB"});
        }
        if (*value < least || *value > most) {
            return outOfRange(formatBytes(*value), range);
        }
        settings.*member = *value;
        return {};
    };
    return {std::move(name), "size", range, formatBytes(node_settings().*member), std::move(help), set, [member](const node_settings &settings) {
                return formatBytes(settings.*member);
            }};
}

node_setting numberSetting(std::string name, std::string unit, std::int64_t least, std::int64_t most, std::string help, std::int64_t node_settings::*member)
{
    const std::string range = concat({std::to_string(least), " to ", std::to_string(most)});
    const auto set = [member, least, most, range](node_settings &settings, std::string_view text) -> std::string {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size()) {
            return concat({"\"", text, "\" is not a whole number"});
        }
        if (value < least || value > most) {
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
        nameSetting("node", "Name of this node, different for each node", &s::node),
        nameSetting("zone", "Availability zone of this node", &s::zone),
        addressSetting("listen", "Where callers connect", &s::listen),
        addressSetting("peerListen", "Where other nodes and operators connect", &s::peerListen),
        addressSetting("log", "The platform's log service", &s::log),
        addressSetting("hosts", "The platform's list of hosts", &s::hosts),
        addressSetting("store", "The platform's weight store", &s::store),
        optionalAddressSetting("metadataStore",
                               "The platform's metadata store; with it the node runs on that platform, and log, hosts, store and keys are not used",
                               &s::metadataStore),
        optionalAddressSetting("readyListen", "Where the platform asks whether the node is ready", &s::readyListen),
        optionalAddressSetting("metricsListen", "Where metrics are served", &s::metricsListen),
        keysSetting(),
        levelSetting(),
        flagSetting("jsonLog", "Log lines as JSON objects on standard output, instead of text on standard error", &s::jsonLog),
        durationSetting("leaseTerm", 2s, 60s, "A holder gives its leases up so long after its last heartbeat; at least twice heartbeatInterval", &s::leaseTerm),
        durationSetting("leaseMargin", 100ms, 30s, "Other nodes wait so much longer before they take a lease over", &s::leaseMargin),
        durationSetting("heartbeatInterval", 500ms, 30s, "Between two heartbeats of a node that holds leases", &s::heartbeatInterval),
        durationSetting(
            "quarantine", 10s, 24h, "Until a vanished owner's commands are no longer expected at engines that do not check fencing", &s::quarantine),
        durationSetting("checkpointInterval", 10s, 24h, "Between two checkpoints; at most a quarter of the log's retention", &s::checkpointInterval),
        durationSetting("keyLifetime", 1min, 24h, "How long an idempotency key is remembered", &s::keyLifetime),
        durationSetting("reportInterval", 200ms, 60s, "Between two reads of an endpoint's load report", &s::reportInterval),
        durationSetting("hostInterval", 200ms, 60s, "Between two reads of the list of hosts", &s::hostInterval),
        durationSetting("balancerWait", 0ms, 5min, "After SIGTERM, until the load balancer has seen that the node is not ready", &s::balancerWait),
        durationSetting("shutdownBound", 1s, 1h, "Longest time from SIGTERM to the end; more than balancerWait", &s::shutdownBound),
        bytesSetting("headerLimit", kib, mib, "Largest header of a request", &s::headerLimit),
        bytesSetting("bodyLimit", kib, gib, "Largest body of a request", &s::bodyLimit),
        numberSetting("connectionLimit", "connections", 1, 1'000'000, "Open connections of callers", &s::connectionLimit),
        durationSetting("readTimeout", 100ms, 10min, "For a request's header to arrive, and again for its body", &s::readTimeout),
        durationSetting("writeTimeout", 100ms, 10min, "For a caller to take a piece of an answer", &s::writeTimeout),
        durationSetting("idleTimeout", 100ms, 1h, "Between two requests on a connection", &s::idleTimeout),
        numberSetting("queueLength", "requests", 1, 1'000'000, "Requests that wait per pool", &s::queueLength),
        numberSetting("retryPercent", "% of requests", 0, 100, "Budget of retries", &s::retryPercent),
        numberSetting(
            "longWorkPercent", "% of slots", 1, 100, "Slots of an endpoint that long work may hold while short work is declared", &s::longWorkPercent),
        durationSetting("drainTime", 100ms, 10min, "How long a leaving endpoint still takes requests after its registration says so", &s::drainTime),
        durationSetting("commandGap", 0ms, 10min, "Least time between commands of two nodes to one engine", &s::commandGap),
        flagSetting("enginesCheckFencing", "Whether engines refuse commands with a fencing token lower than one they have seen", &s::enginesCheckFencing),
        fractionSetting("retryShare", "of a service's requests", 0, 1, "Second and further sends to a service's endpoints, over all nodes", &s::retryShare),
        fractionSetting("retryBurst", "requests", 0, 1'000'000, "Second and further sends that are allowed besides, over all nodes", &s::retryBurst),
        durationSetting("loadWindow", 100ms, 10min, "Time over which loads from the weight store are counted", &s::loadWindow),
        fractionSetting("loadOvershoot", "of the store's rate", 0.1, 10, "Loads from the weight store that may begin in loadWindow", &s::loadOvershoot),
        numberSetting("seed", "number", 0, 1'000'000'000, "Seed of random choices, for tests; 0 takes one from the system", &s::seed),
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
        "A node reads its settings from a YAML file, `chervilbend --settings FILE`. Each setting but `keys` can also be given as a flag, which takes\n"
        "precedence: `--logLevel DEBUG`. An unknown key and a value out of range stop the node at its start, with the line and the nearest known key.\n"
        "`--print-settings` prints all settings with their values. Times and sizes are written with a unit, such as `250 ms` or `16 KiB`.\n"
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
