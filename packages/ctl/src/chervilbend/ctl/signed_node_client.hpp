#pragma once

#include <chervilbend/ctl/node_client.hpp>
#include <chervilbend/membership/message_signer.hpp>

namespace chervilbend::ctl
{

/// Calls nodes by libjsonrpccpp's client over HTTP. Messages are signed, and only signed answers to exactly this message are taken.
class signed_node_client : public node_client
{
public:
    explicit signed_node_client(membership::signing_keys keys);

    std::optional<Json::Value> call(const net::address &node, const std::string &method, const Json::Value &parameters, base::milliseconds timeout) override;

private:
    bool exchange(const net::address &node, const std::string &message, base::milliseconds timeout, std::string &answer);

    membership::message_signer m_signer;
};

} // namespace chervilbend::ctl
