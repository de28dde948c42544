#pragma once

#include <chervilbend/external/http/internal/json_client.hpp>
#include <chervilbend/external/weight_store.hpp>
#include <chervilbend/net/address.hpp>

namespace chervilbend::external
{

/// The weight store's state over HTTP. docs/wire.md describes the wire form.
class http_weight_store : public weight_store
{
public:
    /// @p client must outlive this object.
    http_weight_store(net::http_client &client, net::address where, http_adapter_options options = {});

    boost::asio::awaitable<std::optional<weight_store_status>> status() override;

private:
    json_client m_client;
    net::address m_where;
};

} // namespace chervilbend::external
