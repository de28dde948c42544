#pragma once

#include <json/value.h>

#include <functional>
#include <string>

namespace chervilbend
{
namespace ctl
{

/// Response to a JSON-RPC call.
struct json_rpc_answer {
    bool hasResult = false;
    Json::Value result;
    /// Without a result: the error message and the "kind" member of the error data; both are empty if the transport failed.
    std::string error;
    std::string kind;
};

/// Sends a message and waits for the response; returns false if there is none.
using json_rpc_transport = std::function<bool(const std::string &message, std::string &answer)>;

/// Makes one call with libjsonrpccpp's client. The library's headers are not valid C++17, so only the source file includes them, which is
/// compiled as C++14. This header must remain valid C++14.
json_rpc_answer callJsonRpc(const json_rpc_transport &transport, const std::string &method, const Json::Value &parameters);

} // namespace ctl
} // namespace chervilbend
