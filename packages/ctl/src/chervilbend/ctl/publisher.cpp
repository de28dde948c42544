#include <chervilbend/ctl/publisher.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/hash.hpp>
#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/declaration_diff.hpp>
#include <chervilbend/config/declaration_json.hpp>
#include <chervilbend/ctl/rpc_json.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::ctl
{

namespace
{

constexpr base::milliseconds pollInterval{200};
constexpr base::milliseconds callTimeout{5'000};
/// Shorter than callTimeout, so that one unresponsive node does not use up the time for the others.
constexpr base::milliseconds statusCallTimeout{1'000};
/// Maximum number of nodes that a result lists by name.
constexpr std::size_t maxNamedNodes = 5;

Json::Value publishIdParameter(const std::string &publishId)
{
    Json::Value parameters(Json::objectValue);
    parameters["publishId"] = publishId;
    return parameters;
}

/// Depends only on the declaration and its base version, so that repeating a publish has no further effect.
std::string publishIdOf(const config::service_declaration &declaration, std::int64_t base)
{
    return base::hash128Hex(config::concat({std::to_string(base), "\n", boost::json::serialize(config::toJson(declaration))}));
}

bool isEmpty(const config::service_declaration &declaration)
{
    return declaration.models.empty() && declaration.routes.empty();
}

void appendLines(const std::string &text, std::vector<std::string> &lines)
{
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        lines.push_back(text.substr(start, end - start));
        start = end + 1;
    }
}

/// Whether the node rejected the change itself, so that waiting or retrying does not help.
bool isRejection(base::error_kind kind)
{
    return kind == base::error_kind::configConflict || kind == base::error_kind::configInvalid || kind == base::error_kind::configDoesNotFit
        || kind == base::error_kind::badRequest;
}

} // namespace

publisher::publisher(node_client &client, options settings, sleep_function sleep)
    : m_client(client)
    , m_options(std::move(settings))
    , m_sleep(std::move(sleep))
{
}

std::optional<std::vector<publish_result>> publisher::publish(std::span<const config::service_declaration> declarations)
{
    if (!readStatus()) {
        return std::nullopt;
    }
    std::vector<publish_result> results;
    results.reserve(declarations.size());
    for (const config::service_declaration &declaration : declarations) {
        results.push_back(publishOne(declaration));
    }
    return results;
}

bool publisher::readStatus()
{
    Json::Value parameters(Json::objectValue);
    parameters["declarations"] = true;
    auto status = m_client.call(m_options.node, "status", parameters, callTimeout);
    if (!status) {
        fail(m_client.lastReason());
        return false;
    }
    m_status = std::move(*status);
    m_peers.clear();
    for (const Json::Value &node : listOf(m_status, "nodes")) {
        const auto address = net::parseAddress(textOf(node, "address"));
        if (address && textOf(node, "state") != "dead") {
            m_peers.push_back({textOf(node, "node"), *address});
        }
    }
    if (m_peers.empty()) {
        m_peers.push_back({toString(m_options.node), m_options.node});
    }
    return true;
}

publish_result publisher::publishOne(const config::service_declaration &declaration)
{
    publish_result result;
    result.service = declaration.service.value();
    describeChange(declaration, result);
    const auto explicitBase = m_options.bases.find(result.service);
    if (result.changes.empty()) {
        result.outcome.push_back(result.base > 0 ? config::concat({"nothing to do: version ", std::to_string(result.base), " is the same"})
                                                 : "nothing to do: the service is not declared");
        result.version = result.base;
        return result;
    }
    if (explicitBase != m_options.bases.end()) {
        result.base = explicitBase->second;
    }
    result.publishId = publishIdOf(declaration, result.base);
    if (send(declaration, result)) {
        trackPublish(result);
    }
    return result;
}

void publisher::describeChange(const config::service_declaration &declaration, publish_result &result) const
{
    for (const Json::Value &service : listOf(m_status, "withdrawn")) {
        if (textOf(service, "service") == result.service) {
            result.base = numberOf(service, "version");
        }
    }
    config::service_declaration inForce{declaration.service, {}, {}, {}};
    bool isDeclared = false;
    for (const Json::Value &service : listOf(m_status, "services")) {
        const auto current = textOf(service, "service") == result.service ? declarationOf(service["declaration"]) : std::nullopt;
        if (current) {
            result.base = numberOf(service, "version");
            inForce = *current;
            isDeclared = true;
        }
    }
    if (isEmpty(declaration) && !isDeclared) {
        return;
    }
    result.changes = config::diffLines(inForce, declaration);
    if (isEmpty(declaration) && isDeclared && result.changes.empty()) {
        result.changes.emplace_back("- service " + result.service);
    }
}

bool publisher::send(const config::service_declaration &declaration, publish_result &result)
{
    Json::Value parameters = publishIdParameter(result.publishId);
    parameters["author"] = m_options.author;
    parameters["base"] = static_cast<Json::Int64>(result.base);
    parameters["declaration"] = rpcJsonOf(declaration);
    const auto answer = m_client.call(m_options.node, "publish", parameters, callTimeout);
    if (answer) {
        for (const Json::Value &warning : listOf(*answer, "warnings")) {
            result.outcome.push_back(warning.isString() ? "warning: " + warning.asString() : std::string());
        }
        return true;
    }
    const base::reason reason = m_client.lastReason();
    if (reason.kind == base::error_kind::peerUnavailable || reason.kind == base::error_kind::internal) {
        // The node may have accepted the publish before the response was lost.
        return true;
    }
    result.code = isRejection(reason.kind) ? exit_code::rejected : exit_code::nodeUnavailable;
    result.outcome.emplace_back(isRejection(reason.kind) ? "rejected; nothing was changed:" : "not sent; nothing was changed:");
    appendLines(reason.text, result.outcome);
    return false;
}

void publisher::trackPublish(publish_result &result)
{
    const base::time_point deadline = base::clock::now() + m_options.wait;
    const auto status = waitForDecision(result.publishId, deadline);
    if (!status) {
        result.code = exit_code::undecided;
        result.outcome.push_back(config::concat(
            {"not known yet: no node has read the change from the log within ", std::to_string(m_options.wait.count()), " ms; it may still be accepted"}));
        result.outcome.push_back(config::concat(
            {"to ask again, repeat the command with --base ", result.service, "=", std::to_string(result.base), ", which cannot publish it twice"}));
        return;
    }
    if (textOf(*status, "state") == "rejected") {
        describeRejection(*status, result);
        return;
    }
    result.version = numberOf(*status, "version");
    waitUntilInForce(result, deadline);
    if (const std::int64_t newerVersion = numberOf(*status, "supersededBy"); newerVersion > 0) {
        result.outcome.push_back(config::concat({"since then replaced by version ", std::to_string(newerVersion)}));
    }
}

std::optional<Json::Value> publisher::waitForDecision(const std::string &publishId, base::time_point deadline)
{
    std::vector<net::address> nodes{m_options.node};
    for (const peer &other : m_peers) {
        nodes.push_back(other.address);
    }
    std::size_t next = 0;
    do {
        auto status = m_client.call(nodes[next % nodes.size()], "publishStatus", publishIdParameter(publishId), statusCallTimeout);
        if (status && textOf(*status, "state") != "unknown") {
            return status;
        }
        // A node that is disconnected from the log keeps answering "unknown", so the other nodes are polled as well.
        ++next;
        m_sleep(pollInterval);
    } while (base::clock::now() < deadline);
    return std::nullopt;
}

void publisher::describeRejection(const Json::Value &status, publish_result &result) const
{
    result.code = exit_code::rejected;
    result.outcome.push_back("rejected; nothing was changed: " + textOf(status, "why"));
    const Json::Value differences = listOf(status, "differs");
    if (!differences.empty()) {
        result.outcome.emplace_back("this publish would change there:");
        for (const Json::Value &line : differences) {
            result.outcome.push_back(line.isString() ? line.asString() : std::string());
        }
    }
}

void publisher::waitUntilInForce(publish_result &result, base::time_point deadline)
{
    result.nodesKnown = static_cast<int>(m_peers.size());
    std::vector<peer> pending = m_peers;
    for (bool isFirst = true; !pending.empty() && (isFirst || base::clock::now() < deadline); isFirst = false) {
        if (!isFirst) {
            m_sleep(pollInterval);
        }
        std::erase_if(pending, [&](const peer &node) {
            const auto status = m_client.call(node.address, "publishStatus", publishIdParameter(result.publishId), statusCallTimeout);
            // A node that already has a newer version had this one in force before.
            return status && (flagOf(*status, "inForceHere") || numberOf(*status, "supersededBy") > 0);
        });
    }
    result.nodesInForce = result.nodesKnown - static_cast<int>(pending.size());
    result.outcome.push_back(config::concat({"accepted as version ",
                                             std::to_string(result.version),
                                             ", in force on ",
                                             std::to_string(result.nodesInForce),
                                             " of ",
                                             std::to_string(result.nodesKnown),
                                             " known nodes"}));
    if (pending.empty()) {
        return;
    }
    result.code = exit_code::notInForceEverywhere;
    std::string names;
    for (std::size_t i = 0; i < std::min(pending.size(), maxNamedNodes); ++i) {
        names += config::concat({i == 0 ? "" : ", ", pending[i].name});
    }
    result.outcome.push_back(config::concat({"not known of: ", names, pending.size() > maxNamedNodes ? " and others" : ""}));
}

} // namespace chervilbend::ctl
