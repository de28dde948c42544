#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <optional>
#include <string>

namespace chervilbend::peers
{

/// Calls methods of other nodes.
class rpc_caller : public base::reason_holder
{
public:
    virtual ~rpc_caller() = default;

    /// Calls a method with named parameters. Without a value, lastReason() is the error that the peer returned, or has the kind peerUnavailable when no valid
    /// answer arrived within @p timeout.
    virtual boost::asio::awaitable<std::optional<Json::Value>>
        call(net::address peer, std::string method, Json::Value parameters, base::milliseconds timeout) = 0;
};

} // namespace chervilbend::peers
