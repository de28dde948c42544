#include <chervilbend/node/operators/queries/diff_method.hpp>

#include <chervilbend/node/operators/operator_json.hpp>

#include <algorithm>
#include <vector>

namespace chervilbend::node::queries
{

diff_method::diff_method(const operator_view &view)
    : m_view(view)
{
}

std::string diff_method::name() const
{
    return "diff";
}

std::optional<Json::Value> diff_method::call(const Json::Value &parameters)
{
    const base::service_id service(textParameter(parameters, "service"));
    std::vector<publish_record> accepted = m_view.publishes(service);
    std::erase_if(accepted, [](const publish_record &record) { return !record.accepted; });
    if (accepted.empty()) {
        return fail(base::error_kind::badRequest, "no version of service \"" + service.value() + "\" is known here");
    }
    const std::int64_t to = numberParameter(parameters, "to").value_or(accepted.back().offset.count());
    const auto after = std::ranges::find(accepted, base::log_offset(to), &publish_record::offset);
    if (after == accepted.end()) {
        return fail(base::error_kind::badRequest, "version " + std::to_string(to) + " of service \"" + service.value() + "\" is not known here");
    }
    const std::int64_t from = numberParameter(parameters, "from").value_or(after->base.count());
    const auto before = std::ranges::find(accepted, base::log_offset(from), &publish_record::offset);
    // Version 0 stands for the service before its first publish.
    if (before == accepted.end() && from != 0) {
        return fail(base::error_kind::badRequest, "version " + std::to_string(from) + " of service \"" + service.value() + "\" is not known here");
    }
    Json::Value result(Json::objectValue);
    result["service"] = service.value();
    result["from"] = toRpcJson(base::log_offset(from));
    result["to"] = toRpcJson(base::log_offset(to));
    result["lines"] = changesBetween(before == accepted.end() ? nullptr : &*before, *after);
    if (result["lines"].isNull()) {
        return fail(base::error_kind::badRequest,
                    "this node does not have the declarations of both versions, for example because it started after they were published; ask another node");
    }
    return result;
}

} // namespace chervilbend::node::queries
