#pragma once

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <string>

namespace chervilbend::peers
{

/// Connects libjsonrpccpp's server to messages that the HTTP server has already read.
class rpc_transport : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    /// Stores the response in the std::string that was passed to OnRequest().
    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

} // namespace chervilbend::peers
