#pragma once

#include <chervilbend/ctl/node_client.hpp>
#include <chervilbend/membership/message_signer.hpp>

namespace chervilbend::ctl
{

/// Calls nodes over HTTP with libjsonrpccpp's client. Requests are signed, and a response is accepted only if its signature matches this
/// request.
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
