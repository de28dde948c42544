#pragma once

#include <chervilbend/external/host_list.hpp>
#include <chervilbend/external/http/internal/json_client.hpp>
#include <chervilbend/net/address.hpp>

namespace chervilbend::external
{

/// The platform's list of hosts over HTTP. docs/wire.md describes the wire format.
class http_host_list : public host_list
{
public:
    /// @p client must outlive this object.
    http_host_list(net::http_client &client, net::address address, http_adapter_options options = {});

    /// Skips entries that are malformed or of an unknown kind, so that one of them does not hide all others. Refuses a list with two entries of the same id,
    /// and a non-empty list without a valid entry.
    boost::asio::awaitable<std::optional<std::vector<host_entry>>> fetch() override;

private:
    std::optional<std::vector<host_entry>> parse(const boost::json::object &body);

    json_client m_client;
    net::address m_address;
};

} // namespace chervilbend::external
