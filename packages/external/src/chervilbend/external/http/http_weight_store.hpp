#pragma once

#include <chervilbend/external/http/internal/json_client.hpp>
#include <chervilbend/external/weight_store.hpp>
#include <chervilbend/net/address.hpp>

namespace chervilbend::external
{

/// Reads the weight store's status over HTTP. docs/wire.md describes the wire format.
class http_weight_store : public weight_store
{
public:
    /// @p client must outlive this object.
    http_weight_store(net::http_client &client, net::address address, http_adapter_options options = {});

    boost::asio::awaitable<std::optional<weight_store_status>> status() override;

private:
    json_client m_client;
    net::address m_address;
};

} // namespace chervilbend::external
