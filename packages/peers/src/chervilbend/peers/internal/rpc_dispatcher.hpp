#pragma once

#include <chervilbend/peers/rpc_method.hpp>

#include <jsonrpccpp/server/abstractserver.h>

#include <map>
#include <memory>
#include <string>

namespace chervilbend::peers
{

/// libjsonrpccpp's server with rpc_method objects in place of member functions.
class rpc_dispatcher : public jsonrpc::AbstractServer<rpc_dispatcher>
{
public:
    explicit rpc_dispatcher(jsonrpc::AbstractServerConnector &transport);

    void add(std::shared_ptr<rpc_method> method);

    /// The method of that name, or nullptr.
    std::shared_ptr<rpc_method> find(const std::string &name) const;

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override;

private:
    /// The base class requires a member function for each procedure; HandleMethodCall() calls the rpc_method instead.
    void unusedProcedure(const Json::Value &input, Json::Value &output);

    std::map<std::string, std::shared_ptr<rpc_method>> m_methods;
};

} // namespace chervilbend::peers
