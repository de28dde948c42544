#pragma once

#include "answers.hpp"

#include <chervilbend/fleet/stream_origins.hpp>
#include <chervilbend/node/callers/item_provider.hpp>
#include <chervilbend/node/callers/route_api.hpp>
#include <chervilbend/platform/platform_request_codec.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chervilbend::node::test
{

/// Item provider with a preset result; records its calls.
class test_item_provider : public item_provider
{
public:
    boost::asio::awaitable<bool> waitUntilAvailable(fleet::requested_item item, base::time_point /*until*/) override
    {
        requestedItems.push_back(item);
        co_return isAvailable;
    }

    void reportMissing(const base::endpoint_id &endpoint, const fleet::requested_item & /*item*/) override
    {
        missing.push_back(endpoint);
    }

    bool isAvailable = true;
    std::vector<fleet::requested_item> requestedItems;
    std::vector<base::endpoint_id> missing;
};

/// Knows the origins that a test sets; records what is noted.
class test_stream_origins : public fleet::stream_origins
{
public:
    void noteBegun(const fleet::stream_origin &origin) override
    {
        begun.push_back(origin);
    }

    void noteEnded(std::uint64_t /*stream*/, bool isComplete) override
    {
        ended.push_back(isComplete);
    }

    boost::asio::awaitable<fleet::origin_lookup> find(base::service_id /*service*/, std::optional<std::uint64_t> stream, base::time_point /*until*/) override
    {
        lookups.push_back(stream);
        co_return result;
    }

    fleet::origin_lookup result{base::software_version("v1"), fleet::origin_source::singleVersion, {}};
    std::vector<fleet::stream_origin> begun;
    std::vector<bool> ended;
    std::vector<std::optional<std::uint64_t>> lookups;
};

/// A route_api server on real sockets, with the platform's protocol and scripted endpoints.
struct route_api_fixture {
    route_api_fixture()
    {
        auto sample = std::make_shared<fleet::traffic_configuration>();
        sample->version = 3;
        addRoute(*sample, "/status/", fleet::route_kind::repeatable, 2);
        addRoute(*sample, "/order/", fleet::route_kind::once, 1);
        addRoute(*sample, "/chat/", fleet::route_kind::stream, 2).resumable = true;
        addRoute(*sample, "/report/", fleet::route_kind::stream, 1);
        configuration = sample;
        requestForwarder.setMissingItemListener(
            [this](const base::endpoint_id &endpoint, const fleet::requested_item &item) { itemProvider.reportMissing(endpoint, item); });
        server = std::make_shared<net::http_server>(context.get_executor(), api);
        port = server->listen({"127.0.0.1", 0}).value();
        requestForwarder.setStreamOrigins(origins);
        director.retriesLeft = 3;
    }

    ~route_api_fixture()
    {
        server->closeAll();
        context.restart();
        context.run_for(std::chrono::milliseconds(100));
    }

    static fleet::route_rule &addRoute(fleet::traffic_configuration &to, const std::string &prefix, fleet::route_kind kind, int attempts)
    {
        fleet::route_rule &route = to.routes.emplace_back();
        route.host = "h.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.attempts = attempts;
        route.timeout = base::milliseconds(3'000);
        route.targetLatency = base::milliseconds(150);
        route.shares.push_back({base::service_id("desk"), 1});
        return route;
    }

    void configure()
    {
        api.setRoutes(std::make_shared<const fleet::route_table>(configuration));
    }

    void addEndpoint(raw_server::script script)
    {
        endpoints.push_back(std::make_unique<raw_server>(context, std::move(script)));
        addAddress(endpoints.back()->port());
    }

    void addAddress(std::uint16_t endpointPort)
    {
        const base::endpoint_id id("i-" + std::to_string(endpointPort));
        directory.set(id, {"127.0.0.1", endpointPort});
        director.setEndpoint({id, base::zone_id("a"), {"desk", "desk/tall"}, false, 0});
    }

    std::string ask(const std::string &path, const std::string &fields = {})
    {
        std::string answer;
        net::test::runUntilDone(context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(port);
            co_await caller->send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nChervilbend-Attempt-Id: own1\r\n" + fields
                                  + "Chervilbend-Deadline-Milliseconds: 5000\r\nContent-Length: 2\r\n\r\n{}");
            answer = co_await caller->readToEnd();
        });
        return answer;
    }

    boost::asio::io_context context;
    std::shared_ptr<const fleet::traffic_configuration> configuration;
    test_director director;
    net::http_client client;
    node::endpoint_directory directory;
    node::admission requestAdmission{context.get_executor(), director};
    base::metric_registry registry;
    node::caller_metrics metrics{registry};
    node::open_requests open;
    node::forwarder requestForwarder{requestAdmission, directory, client, metrics};
    test_item_provider itemProvider;
    fleet::usage_meter usage;
    test_stream_origins origins;
    platform::platform_request_codec codec;
    std::shared_ptr<routing::account_quotas> quotas = std::make_shared<routing::account_quotas>();
    node::route_api api{codec, requestForwarder, itemProvider, usage, open, origins, metrics, registry, quotas};
    std::shared_ptr<net::http_server> server;
    std::vector<std::unique_ptr<raw_server>> endpoints;
    std::uint16_t port = 0;
};

inline std::string
    sealedResponse(const std::string &body, const std::string &attempt = "own1", const std::string &status = "200 OK", const std::string &more = {})
{
    return "HTTP/1.1 " + status + "\r\nChervilbend-Attempt-Id: " + attempt + "\r\nChervilbend-Response-Seal: s1\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string numberedEvent(int id)
{
    return chunk("id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n");
}

inline const std::string sealedStream =
    "HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string unframedStream =
    "HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n\r\n";
inline const std::string notExecutedResponse = "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace chervilbend::node::test
