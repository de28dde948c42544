#include <chervilbend/peers/internal/rpc_dispatcher.hpp>

#include <chervilbend/base/error_answer.hpp>

#include <jsonrpccpp/common/exception.h>

#include <utility>

namespace chervilbend::peers
{

rpc_dispatcher::rpc_dispatcher(jsonrpc::AbstractServerConnector &transport)
    : AbstractServer(transport, jsonrpc::JSONRPC_SERVER_V2)
{
}

void rpc_dispatcher::add(std::shared_ptr<rpc_method> method)
{
    const std::string name = method->name();
    const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr);
    if (bindAndAddMethod(procedure, &rpc_dispatcher::unusedProcedure)) {
        m_methods.emplace(name, std::move(method));
    }
}

std::shared_ptr<rpc_method> rpc_dispatcher::find(const std::string &name) const
{
    const auto found = m_methods.find(name);
    return found == m_methods.end() ? nullptr : found->second;
}

void rpc_dispatcher::HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output)
{
    rpc_method &method = *m_methods.at(procedure.GetProcedureName());
    std::optional<Json::Value> result = method.call(input);
    if (!result) {
        const base::reason reason = method.lastReason();
        Json::Value data(Json::objectValue);
        data["kind"] = std::string(base::answerFor(reason.kind).name);
        // Positive codes are available to applications; callers read the kind.
        throw jsonrpc::JsonRpcException(1, reason.text, data);
    }
    output = std::move(*result);
}

void rpc_dispatcher::unusedProcedure(const Json::Value & /*input*/, Json::Value & /*output*/)
{
}

} // namespace chervilbend::peers
