#pragma once

#include <chervilbend/fakes/order_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/fakes/servers/fake_server.hpp>

#include <string>

namespace chervilbend::fakes
{

/// A fake plain service that counts the executions of orders by idempotency key. See docs/wire.md.
class order_server : public fake_server
{
public:
    order_server(std::string service, std::uint64_t seed);

protected:
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) override;

private:
    boost::asio::awaitable<void> runOrder(std::shared_ptr<net::http_exchange> exchange);
    boost::json::object runsToJson() const;

    std::string m_service;
    seeded_random m_random;
    bool m_outage = false;
    base::milliseconds m_delay{0};
    double m_lostAnswers = 0;
    order_store m_store;
    std::int64_t m_ordersWithoutKey = 0;
};

} // namespace chervilbend::fakes
