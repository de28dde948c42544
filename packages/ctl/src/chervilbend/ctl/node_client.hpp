#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>

#include <json/value.h>

#include <optional>
#include <string>

namespace chervilbend::ctl
{

/// Calls methods of nodes and waits for their answers.
class node_client : public base::reason_holder
{
public:
    virtual ~node_client() = default;

    /// Without a value, lastReason() has the kind endpointRefused when the node certainly did not get the call, peerUnavailable when that
    /// is not known, and otherwise is the node's own reason.
    virtual std::optional<Json::Value> call(const net::address &node, const std::string &method, const Json::Value &parameters, base::milliseconds timeout) = 0;
};

} // namespace chervilbend::ctl
