#pragma once

#include <chervilbend/external/host_list.hpp>
#include <chervilbend/external/http/internal/json_client.hpp>
#include <chervilbend/net/address.hpp>

namespace chervilbend::external
{

/// The platform's list of hosts over HTTP. docs/wire.md describes the wire form.
class http_host_list : public host_list
{
public:
    /// @p client must outlive this object.
    http_host_list(net::http_client &client, net::address where, http_adapter_options options = {});

    /// Entries that are malformed or of an unknown kind are left out, so that one of them does not hide all others. A list with two
    /// entries of the same id, and one without any valid entry among several, is refused as a whole.
    boost::asio::awaitable<std::optional<std::vector<host_entry>>> fetch() override;

private:
    std::optional<std::vector<host_entry>> parse(const boost::json::object &body);

    json_client m_client;
    net::address m_where;
};

} // namespace chervilbend::external
