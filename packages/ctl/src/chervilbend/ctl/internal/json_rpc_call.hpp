#pragma once

#include <json/value.h>

#include <functional>
#include <string>

namespace chervilbend
{
namespace ctl
{

/// The answer to a JSON-RPC call.
struct json_rpc_answer {
    bool hasResult = false;
    Json::Value result;
    /// Without a result: the error's text, and the "kind" of its data; both empty when the transport failed.
    std::string error;
    std::string kind;
};

/// Sends a message and waits for the answer to it; false when there is none.
using json_rpc_transport = std::function<bool(const std::string &message, std::string &answer)>;

/// Makes one call by libjsonrpccpp's client. Its headers are not valid C++17, so this header stays valid C++14 and they stay in the source.
json_rpc_answer callJsonRpc(const json_rpc_transport &transport, const std::string &method, const Json::Value &parameters);

} // namespace ctl
} // namespace chervilbend
