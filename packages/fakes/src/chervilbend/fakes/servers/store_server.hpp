#pragma once

#include <chervilbend/fakes/servers/fake_server.hpp>
#include <chervilbend/fakes/weight_store_model.hpp>

namespace chervilbend::fakes
{

/// A fake weight store over HTTP. See docs/wire.md.
class store_server : public fake_server
{
public:
    store_server(external::weight_store_status limits, std::uint64_t seed);

protected:
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) override;

private:
    boost::asio::awaitable<void> beginLoad(std::shared_ptr<net::http_exchange> exchange);

    bool m_outage = false;
    double m_slowness = 1;
    weight_store_model m_model;
};

} // namespace chervilbend::fakes
