#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>

#include <json/value.h>

#include <optional>
#include <string>

namespace chervilbend::ctl
{

/// Blocking RPC client for nodes.
class node_client : public base::reason_holder
{
public:
    virtual ~node_client() = default;

    /// Returns no value on failure. lastReason() then has the kind endpointRefused if the node certainly did not receive the call,
    /// peerUnavailable if it may have received it, and otherwise the kind and text of the node's error.
    virtual std::optional<Json::Value> call(const net::address &node, const std::string &method, const Json::Value &parameters, base::milliseconds timeout) = 0;
};

} // namespace chervilbend::ctl
