#include <chervilbend/measure/proxy/route_thread.hpp>

#include <chervilbend/fleet/route_table.hpp>
#include <chervilbend/fleet/stream_origins.hpp>
#include <chervilbend/measure/proxy/processor_time.hpp>
#include <chervilbend/measure/proxy/single_endpoint_director.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/item_provider.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/route_api.hpp>
#include <chervilbend/platform/platform_request_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace asio = boost::asio;

namespace chervilbend::measure
{

namespace
{

/// Believes all answers, since the endpoint of the measurements doesn't say which attempt it answers.
class trusting_codec : public platform::platform_request_codec
{
public:
    fleet::answer_disposition classifyAnswer(const net::http::response_header<> & /*answer*/, const std::string & /*attempt*/) const override
    {
        return fleet::answer_disposition::forwardToCaller;
    }
};

class unused_item_provider : public node::item_provider
{
public:
    asio::awaitable<bool> waitUntilAvailable(fleet::requested_item /*item*/, base::time_point /*until*/) override
    {
        co_return false;
    }

    void reportMissing(const base::endpoint_id & /*endpoint*/, const fleet::requested_item & /*item*/) override
    {
    }
};

class unused_stream_origins : public fleet::stream_origins
{
public:
    void noteBegun(const fleet::stream_origin & /*origin*/) override
    {
    }

    void noteEnded(std::uint64_t /*stream*/, bool /*isComplete*/) override
    {
    }

    asio::awaitable<fleet::origin_lookup> find(base::service_id /*service*/, std::optional<std::uint64_t> /*stream*/, base::time_point /*until*/) override
    {
        co_return fleet::origin_lookup();
    }
};

} // namespace

struct route_thread::implementation {
    explicit implementation(std::uint16_t endpointPort)
    {
        const base::endpoint_id endpoint("e1");
        directory.set(endpoint, {"127.0.0.1", endpointPort});
        director.setEndpoint({endpoint, base::zone_id("a"), {"desk"}, false, 0});
        server = std::make_shared<net::http_server>(context.get_executor(), api);
        port = server->listen({"127.0.0.1", 0}).value_or(0);
        thread = std::thread([this] { context.run(); });
    }

    ~implementation()
    {
        context.stop();
        thread.join();
        server->closeAll();
        context.restart();
        context.poll();
    }

    asio::io_context context{1};
    single_endpoint_director director;
    net::http_client client;
    node::endpoint_directory directory;
    base::metric_registry registry;
    node::caller_metrics metrics{registry};
    node::open_requests open;
    node::admission gate{context.get_executor(), director};
    node::forwarder requests{gate, directory, client, metrics};
    unused_item_provider items;
    fleet::usage_meter usage;
    unused_stream_origins origins;
    trusting_codec codec;
    std::shared_ptr<routing::account_quotas> quotas = std::make_shared<routing::account_quotas>();
    node::route_api api{codec, requests, items, usage, open, origins, metrics, registry, quotas};
    std::shared_ptr<net::http_server> server;
    std::uint16_t port = 0;
    std::thread thread;
};

route_thread::route_thread(std::uint16_t endpointPort)
    : m_implementation(std::make_unique<implementation>(endpointPort))
{
}

route_thread::~route_thread() = default;

std::uint16_t route_thread::port() const
{
    return m_implementation->port;
}

void route_thread::setConfiguration(std::shared_ptr<const fleet::traffic_configuration> configuration)
{
    const auto table = std::make_shared<const fleet::route_table>(std::move(configuration));
    std::promise<void> applied;
    asio::post(m_implementation->context, [&] {
        m_implementation->api.setRoutes(table);
        applied.set_value();
    });
    applied.get_future().wait();
}

double route_thread::processorSeconds() const
{
    return measure::processorSeconds(m_implementation->thread);
}

} // namespace chervilbend::measure
