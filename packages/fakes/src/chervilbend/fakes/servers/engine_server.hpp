#pragma once

#include <chervilbend/fakes/batch_slots.hpp>
#include <chervilbend/fakes/cache_event_feed.hpp>
#include <chervilbend/fakes/in_process_engine_control.hpp>
#include <chervilbend/fakes/prefix_cache.hpp>
#include <chervilbend/fakes/servers/engine_server_options.hpp>
#include <chervilbend/fakes/servers/fake_server.hpp>
#include <chervilbend/net/http_client.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace chervilbend::fakes
{

struct completion_request;
class completion_text;

/// A fake model engine: commands, reports, cache events and the OpenAI-compatible API over HTTP. See docs/wire.md.
///
/// Generation is simulated: the time per token grows with the number of running requests.
class engine_server : public fake_server
{
public:
    explicit engine_server(const engine_server_options &options);

protected:
    boost::asio::awaitable<void> serve(std::shared_ptr<net::http_exchange> exchange, request_target target) override;

private:
    void registerFaults();
    boost::asio::awaitable<void> handleCommand(std::shared_ptr<net::http_exchange> exchange);
    boost::asio::awaitable<void> requestLoadTime(base::item_id item);
    boost::asio::awaitable<void> sendReport(std::shared_ptr<net::http_exchange> exchange);
    boost::asio::awaitable<void> sendCounts(std::shared_ptr<net::http_exchange> exchange);
    boost::asio::awaitable<void> sendCacheEvents(std::shared_ptr<net::http_exchange> exchange, std::int64_t after);
    boost::asio::awaitable<void> handleCompletion(std::shared_ptr<net::http_exchange> exchange);
    boost::asio::awaitable<void> generate(std::shared_ptr<net::http_exchange> exchange, std::shared_ptr<const completion_request> request);
    boost::asio::awaitable<void> streamTokens(std::shared_ptr<net::http_exchange> exchange,
                                              std::shared_ptr<const completion_request> request,
                                              std::shared_ptr<const completion_text> text);
    bool hasModel(const std::string &model);
    bool findOrCachePrefix(const completion_request &request);
    /// Simulated duration of @p tokens at the current batch size.
    base::milliseconds durationFor(double tokens, double tokenMs) const;

    engine_server_options m_options;
    std::shared_ptr<engine_model> m_model;
    in_process_engine_control m_engineControl;
    engine_faults m_faults;
    batch_slots m_slots;
    prefix_cache m_cache;
    cache_event_feed m_cacheEvents;
    net::http_client m_client;
    base::milliseconds m_reportLag;
    double m_slowness = 1;
    bool m_refuseRequests = false;
    bool m_crash = false;
    std::int64_t m_completions = 0;
    /// Completion requests received, refused ones included.
    std::int64_t m_requests = 0;
};

} // namespace chervilbend::fakes
