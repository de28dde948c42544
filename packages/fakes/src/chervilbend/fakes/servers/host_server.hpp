#pragma once

#include <chervilbend/fakes/host_directory.hpp>
#include <chervilbend/fakes/servers/fake_server.hpp>

#include <string>

namespace chervilbend::fakes
{

/// The host list over HTTP, with PUT and DELETE for its lines; docs/wire.md describes it.
class host_server : public fake_server
{
public:
    explicit host_server(base::milliseconds lag);

    /// Takes the hosts of a JSON document as GET /hosts gives it. False when a line is malformed.
    bool load(const std::string &document);

protected:
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) override;

private:
    boost::asio::awaitable<void> change(std::shared_ptr<net::http_exchange> exchange, std::string id);

    bool m_outage = false;
    base::milliseconds m_lag;
    base::milliseconds m_delay{0};
    host_directory m_directory;
};

} // namespace chervilbend::fakes
