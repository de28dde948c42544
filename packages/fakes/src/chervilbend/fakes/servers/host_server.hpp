#pragma once

#include <chervilbend/fakes/host_directory.hpp>
#include <chervilbend/fakes/servers/fake_server.hpp>

#include <string>

namespace chervilbend::fakes
{

/// A fake host list over HTTP, with PUT and DELETE for its entries. See docs/wire.md.
class host_server : public fake_server
{
public:
    explicit host_server(base::milliseconds lag);

    /// Adds the hosts from a JSON document in the format of GET /hosts. False when the document or an entry is malformed.
    bool load(const std::string &document);

protected:
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) override;

private:
    boost::asio::awaitable<void> changeHost(std::shared_ptr<net::http_exchange> exchange, std::string id);

    bool m_outage = false;
    base::milliseconds m_lag;
    base::milliseconds m_delay{0};
    host_directory m_directory;
};

} // namespace chervilbend::fakes
