#include <chervilbend/node/operators/commands/publish_method.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/declaration_check.hpp>
#include <chervilbend/config/declaration_diff.hpp>
#include <chervilbend/config/memory_fit.hpp>
#include <chervilbend/node/operators/operator_json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace chervilbend::node::commands
{

namespace
{

constexpr std::size_t maxTextLength = 128;

/// The declarations of all services as if @p changed were in force, which comes last.
std::vector<config::service_declaration> servicesWith(const operator_view &view, const config::service_declaration &changed)
{
    std::vector<config::service_declaration> all;
    for (const auto &[service, current] : view.services()) {
        if (service != changed.service) {
            all.push_back(current.declaration);
        }
    }
    all.push_back(changed);
    return all;
}

std::vector<config::endpoint_memory> endpointsOf(const operator_view &view)
{
    std::vector<config::endpoint_memory> endpoints;
    for (const auto &[id, endpoint] : view.endpoints()) {
        endpoints.push_back({id, endpoint.zone, endpoint.memory});
    }
    return endpoints;
}

base::byte_count requiredMemory(const config::service_declaration &declaration)
{
    base::byte_count sum;
    for (const config::model_declaration &model : declaration.models) {
        base::byte_count copy = model.weights + model.kvReserve;
        for (const config::adapter_declaration &adapter : model.adapters) {
            copy += adapter.bytes;
        }
        sum += base::byte_count(copy.count() * model.copies);
    }
    return sum;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += config::concat({text.empty() ? "" : "\n", line});
    }
    return text;
}

} // namespace

publish_method::publish_method(const operator_view &view, publish_sink &sink)
    : m_view(view)
    , m_sink(sink)
{
}

std::string publish_method::name() const
{
    return "publish";
}

std::optional<Json::Value> publish_method::call(const Json::Value &parameters)
{
    std::optional<state::publish_entry> entry = readEntry(parameters);
    if (!entry) {
        return std::nullopt;
    }
    Json::Value result(Json::objectValue);
    result["publishId"] = entry->publishId;
    result["service"] = entry->declaration.service.value();
    result["warnings"] = Json::Value(Json::arrayValue);
    if (const auto earlier = m_view.findPublish(entry->publishId)) {
        result["state"] = earlier->accepted ? "accepted" : "rejected";
        return result;
    }
    if (!checkRules(entry->declaration) || !checkBase(*entry) || !checkMemory(entry->declaration, result["warnings"])) {
        LOG4CXX_INFO(base::partLogger("config"),
                     "Refused publish " << entry->publishId << " of " << entry->author << " for service " << entry->declaration.service << '.');
        return std::nullopt;
    }
    LOG4CXX_INFO(base::partLogger("config"),
                 "Submitting publish " << entry->publishId << " of " << entry->author << " for service " << entry->declaration.service << " to the log.");
    if (!m_sink.submit(std::move(*entry))) {
        return fail(m_sink.lastReason());
    }
    result["state"] = "submitted";
    return result;
}

std::optional<state::publish_entry> publish_method::readEntry(const Json::Value &parameters)
{
    state::publish_entry entry;
    entry.publishId = textParameter(parameters, "publishId");
    entry.author = textParameter(parameters, "author");
    const auto base = numberParameter(parameters, "base");
    if (entry.publishId.empty() || entry.publishId.size() > maxTextLength || entry.author.empty() || entry.author.size() > maxTextLength || !base) {
        return fail(base::error_kind::badRequest, "publishId and author (1 to 128 characters) and base (0 or more) are required");
    }
    entry.base = base::log_offset(*base);
    std::string error;
    auto declaration = declarationFromRpc(parameters["declaration"], error);
    if (!declaration) {
        return fail(base::error_kind::configInvalid, error);
    }
    entry.declaration = std::move(*declaration);
    return entry;
}

bool publish_method::checkRules(const config::service_declaration &declaration)
{
    std::vector<std::string> lines;
    const auto add = [&](const config::declaration_fault &fault) {
        lines.push_back(config::concat({fault.path, fault.path.empty() ? "" : ": ", fault.text}));
    };
    std::ranges::for_each(config::checkDeclaration(declaration), add);
    for (const config::declaration_fault &fault : config::checkConflicts(servicesWith(m_view, declaration))) {
        if (fault.service == declaration.service) {
            add(fault);
        }
    }
    if (!lines.empty()) {
        fail(base::error_kind::configInvalid, joinLines(lines));
    }
    return lines.empty();
}

bool publish_method::checkBase(const state::publish_entry &entry)
{
    const auto current = m_view.services().find(entry.declaration.service);
    // This node may lag behind the log, so a base that is newer than its own version may already be in force. The check on applying the
    // record decides.
    if (current == m_view.services().end() || entry.base >= current->second.version) {
        return true;
    }
    const state::service_view &inForce = current->second;
    std::vector<std::string> lines{config::concat({"version ",
                                                   std::to_string(inForce.version.count()),
                                                   " by ",
                                                   inForce.author,
                                                   " was accepted first, this publish builds on ",
                                                   std::to_string(entry.base.count()),
                                                   "; what this publish would change there:"})};
    std::ranges::move(config::diffLines(inForce.declaration, entry.declaration), std::back_inserter(lines));
    fail(base::error_kind::configConflict, joinLines(lines));
    return false;
}

bool publish_method::checkMemory(const config::service_declaration &declaration, Json::Value &warnings)
{
    if (m_view.endpoints().empty() && !declaration.models.empty()) {
        fail(base::error_kind::noEndpoint, "no engine is registered yet; registration takes a few seconds after the first start, so publish again later");
        return false;
    }
    const std::vector<config::service_declaration> all = servicesWith(m_view, declaration);
    const config::memory_fit fit = config::fitIntoMemory(all, endpointsOf(m_view));
    if (fit.fits) {
        return true;
    }
    const auto current = m_view.services().find(declaration.service);
    const base::byte_count previousMemory = current == m_view.services().end() ? base::byte_count(0) : requiredMemory(current->second.declaration);
    // After a loss of endpoints, the declarations in force may not fit either. A change that needs no more memory than before must remain
    // possible.
    if (requiredMemory(declaration) <= previousMemory) {
        warnings.append(
            "the declared models do not fit into the memory of the known endpoints; the change is allowed because it needs no more memory than before");
        return true;
    }
    fail(base::error_kind::configDoesNotFit, joinLines(fit.calculation));
    return false;
}

} // namespace chervilbend::node::commands
