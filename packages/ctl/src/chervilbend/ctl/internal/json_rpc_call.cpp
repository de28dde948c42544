#include <chervilbend/ctl/internal/json_rpc_call.hpp>

#include <jsonrpccpp/client.h>

namespace chervilbend
{
namespace ctl
{

namespace
{

class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(const json_rpc_transport &transport)
        : m_transport(transport)
    {
    }

    bool hasFailed() const
    {
        return m_failed;
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override // NOLINT(modernize-use-noexcept)
    {
        if (!m_transport(message, result)) {
            m_failed = true;
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no answer");
        }
    }

private:
    const json_rpc_transport &m_transport;
    bool m_failed = false;
};

} // namespace

json_rpc_answer callJsonRpc(const json_rpc_transport &transport, const std::string &method, const Json::Value &parameters)
{
    json_rpc_answer answer;
    transport_connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        answer.result = client.CallMethod(method, parameters);
        answer.hasResult = true;
    } catch (const jsonrpc::JsonRpcException &error) {
        if (!connector.hasFailed()) {
            answer.error = error.GetMessage();
            const Json::Value &data = error.GetData();
            if (data.isObject() && data["kind"].isString()) {
                answer.kind = data["kind"].asString();
            }
        }
    }
    return answer;
}

} // namespace ctl
} // namespace chervilbend
