#include <chervilbend/measure/proxy/proxy_thread.hpp>

#include <chervilbend/control/order_gateway.hpp>
#include <chervilbend/measure/proxy/processor_time.hpp>
#include <chervilbend/measure/proxy/single_endpoint_director.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/caller_api.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/service_catalog.hpp>
#include <chervilbend/node/health/health_api.hpp>
#include <chervilbend/node/health/readiness.hpp>

#include <boost/asio/io_context.hpp>

#include <thread>

namespace asio = boost::asio;

namespace chervilbend::measure
{

namespace
{

class unused_order_gateway : public control::order_gateway
{
public:
    asio::awaitable<control::order_answer> run(control::order_request /*order*/, dispatch_order /*dispatch*/) override
    {
        co_return control::order_answer();
    }
};

} // namespace

struct proxy_thread::implementation {
    explicit implementation(std::uint16_t endpointPort)
    {
        config::service_declaration &chat = services[base::service_id("chat")].declaration;
        chat.service = base::service_id("chat");
        chat.models.push_back({"m", "1", base::byte_count(1), base::byte_count(1), 1, 50, {}});
        const base::endpoint_id endpoint("e1");
        directory.set(endpoint, {"127.0.0.1", endpointPort});
        director.setEndpoint({endpoint, base::zone_id("a"), {"m@1"}, false, 0});
        net::http_server_limits limits;
        limits.idleTimeout = base::milliseconds(600'000);
        server = std::make_shared<net::http_server>(context.get_executor(), health, limits);
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
    std::map<base::service_id, state::service_view> services;
    single_endpoint_director director;
    unused_order_gateway gateway;
    net::http_client client;
    node::endpoint_directory directory;
    node::service_catalog catalog{[this]() -> const node::service_catalog::service_map & {
        return services;
    }};
    base::metric_registry registry;
    node::caller_metrics metrics{registry};
    node::open_requests open;
    node::admission gate{context.get_executor(), director};
    node::forwarder requests{gate, directory, client, metrics};
    node::order_handler orders{gateway, gate, directory, client, open, metrics};
    node::caller_api api{catalog, requests, orders, open, metrics};
    node::readiness ready;
    node::health_api health{ready, registry, api};
    std::shared_ptr<net::http_server> server;
    std::uint16_t port = 0;
    std::thread thread;
};

proxy_thread::proxy_thread(std::uint16_t endpointPort)
    : m_implementation(std::make_unique<implementation>(endpointPort))
{
}

proxy_thread::~proxy_thread() = default;

std::uint16_t proxy_thread::port() const
{
    return m_implementation->port;
}

double proxy_thread::processorSeconds() const
{
    return measure::processorSeconds(m_implementation->thread);
}

} // namespace chervilbend::measure
