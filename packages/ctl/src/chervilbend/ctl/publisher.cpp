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
/// Shorter, because one node that does not answer must not use up the time for the others.
constexpr base::milliseconds nodeTimeout{1'000};
/// Named in the result; the rest is only counted.
constexpr std::size_t mostNamed = 5;

Json::Value publishIdParameter(const std::string &publishId)
{
    Json::Value parameters(Json::objectValue);
    parameters["publishId"] = publishId;
    return parameters;
}

/// The same for the same declaration on the same base, so that a repeat has no further effect.
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

/// The node says that the change is wrong as it is, so that waiting does not help.
bool isRefusal(base::error_kind kind)
{
    return kind == base::error_kind::configConflict || kind == base::error_kind::configInvalid || kind == base::error_kind::configDoesNotFit
        || kind == base::error_kind::badRequest;
}

} // namespace

publisher::publisher(node_client &caller, options settings, sleep_function sleep)
    : m_caller(caller)
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
    auto status = m_caller.call(m_options.node, "status", parameters, callTimeout);
    if (!status) {
        fail(m_caller.lastReason());
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
    const auto pinned = m_options.bases.find(result.service);
    if (result.changes.empty()) {
        result.outcome.push_back(result.base > 0 ? config::concat({"nothing to do: version ", std::to_string(result.base), " is the same"})
                                                 : "nothing to do: the service is not declared");
        result.version = result.base;
        return result;
    }
    if (pinned != m_options.bases.end()) {
        result.base = pinned->second;
    }
    result.publishId = publishIdOf(declaration, result.base);
    if (send(declaration, result)) {
        follow(result);
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
        const auto known = textOf(service, "service") == result.service ? declarationOf(service["declaration"]) : std::nullopt;
        if (known) {
            result.base = numberOf(service, "version");
            inForce = *known;
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
    const auto answer = m_caller.call(m_options.node, "publish", parameters, callTimeout);
    if (answer) {
        for (const Json::Value &warning : listOf(*answer, "warnings")) {
            result.outcome.push_back(warning.isString() ? "warning: " + warning.asString() : std::string());
        }
        return true;
    }
    const base::reason why = m_caller.lastReason();
    if (why.kind == base::error_kind::peerUnavailable || why.kind == base::error_kind::internal) {
        // The node may have taken it before the answer was lost.
        return true;
    }
    result.code = isRefusal(why.kind) ? exit_code::rejected : exit_code::nodeUnavailable;
    result.outcome.emplace_back(isRefusal(why.kind) ? "rejected; nothing was changed:" : "not sent; nothing was changed:");
    appendLines(why.text, result.outcome);
    return false;
}

void publisher::follow(publish_result &result)
{
    const base::time_point deadline = base::clock::now() + m_options.wait;
    const auto status = askForDecision(result.publishId, deadline);
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
    countNodes(result, deadline);
    if (const std::int64_t later = numberOf(*status, "supersededBy"); later > 0) {
        result.outcome.push_back(config::concat({"since then replaced by version ", std::to_string(later)}));
    }
}

std::optional<Json::Value> publisher::askForDecision(const std::string &publishId, base::time_point deadline)
{
    std::vector<net::address> nodes{m_options.node};
    for (const peer &other : m_peers) {
        nodes.push_back(other.address);
    }
    std::size_t next = 0;
    do {
        auto status = m_caller.call(nodes[next % nodes.size()], "publishStatus", publishIdParameter(publishId), nodeTimeout);
        if (status && textOf(*status, "state") != "unknown") {
            return status;
        }
        // A node that is cut off from the log answers "unknown" for ever, so the others are asked, too.
        ++next;
        m_sleep(pollInterval);
    } while (base::clock::now() < deadline);
    return std::nullopt;
}

void publisher::describeRejection(const Json::Value &status, publish_result &result) const
{
    result.code = exit_code::rejected;
    result.outcome.push_back("rejected; nothing was changed: " + textOf(status, "why"));
    const Json::Value differs = listOf(status, "differs");
    if (!differs.empty()) {
        result.outcome.emplace_back("this publish would change there:");
        for (const Json::Value &line : differs) {
            result.outcome.push_back(line.isString() ? line.asString() : std::string());
        }
    }
}

void publisher::countNodes(publish_result &result, base::time_point deadline)
{
    result.nodesKnown = static_cast<int>(m_peers.size());
    std::vector<peer> open = m_peers;
    for (bool isFirst = true; !open.empty() && (isFirst || base::clock::now() < deadline); isFirst = false) {
        if (!isFirst) {
            m_sleep(pollInterval);
        }
        std::erase_if(open, [&](const peer &node) {
            const auto status = m_caller.call(node.address, "publishStatus", publishIdParameter(result.publishId), nodeTimeout);
            // A node that already has a later version had this one in force.
            return status && (flagOf(*status, "inForceHere") || numberOf(*status, "supersededBy") > 0);
        });
    }
    result.nodesInForce = result.nodesKnown - static_cast<int>(open.size());
    result.outcome.push_back(config::concat({"accepted as version ",
                                             std::to_string(result.version),
                                             ", in force on ",
                                             std::to_string(result.nodesInForce),
                                             " of ",
                                             std::to_string(result.nodesKnown),
                                             " known nodes"}));
    if (open.empty()) {
        return;
    }
    result.code = exit_code::notInForceEverywhere;
    std::string names;
    for (std::size_t i = 0; i < std::min(open.size(), mostNamed); ++i) {
        names += config::concat({i == 0 ? "" : ", ", open[i].name});
    }
    result.outcome.push_back(config::concat({"not known of: ", names, open.size() > mostNamed ? " and others" : ""}));
}

} // namespace chervilbend::ctl
