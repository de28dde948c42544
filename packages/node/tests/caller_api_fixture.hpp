#pragma once

#include "../../net/tests/raw_peer.hpp"
#include "test_director.hpp"
#include "test_gateway.hpp"

#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/caller_api.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/order_handler.hpp>
#include <chervilbend/node/callers/service_catalog.hpp>
#include <chervilbend/node/health/health_api.hpp>
#include <chervilbend/node/health/readiness.hpp>

#include <memory>
#include <string>

namespace chervilbend::node::test
{

using net::test::raw_peer;
using net::test::raw_server;
using net::test::until;

/// A caller_api server on real sockets, with a test director and scripted endpoints.
struct caller_api_fixture {
    caller_api_fixture()
    {
        config::service_declaration &chat = services[base::service_id("chat")].declaration;
        chat.service = base::service_id("chat");
        chat.models.push_back({"tall", "3", base::byte_count(1), base::byte_count(1), 1, 50, {{"legal", "2", base::byte_count(1)}}});
        chat.policy = {base::work_class::normal, base::work_class::normal, base::milliseconds(5'000)};
        config::service_declaration &shop = services[base::service_id("shop")].declaration;
        shop.service = base::service_id("shop");
        shop.routes.push_back({"/stock", "", true, "", base::work_class::normal, base::milliseconds(5'000)});
        shop.routes.push_back({"/orders", "POST", false, "order", base::work_class::urgent, base::milliseconds(5'000)});
        server = std::make_shared<net::http_server>(context.get_executor(), health);
        metrics.registerGauges(open, requestAdmission, *server);
        port = server->listen({"127.0.0.1", 0}).value();
    }

    ~caller_api_fixture()
    {
        if (leaveTasksOpen) {
            return;
        }
        server->closeAll();
        context.restart();
        context.run_for(std::chrono::milliseconds(200));
    }

    /// Adds an endpoint to @p pool that runs @p script on each connection.
    raw_server &addEndpoint(const std::string &pool, raw_server::script script)
    {
        endpoints.push_back(std::make_unique<raw_server>(context, std::move(script)));
        addAddress(pool, endpoints.back()->port());
        return *endpoints.back();
    }

    void addAddress(const std::string &pool, std::uint16_t endpointPort)
    {
        const base::endpoint_id id(std::to_string(endpointPort));
        directory.set(id, {"127.0.0.1", endpointPort});
        director.setEndpoint({id, base::zone_id("a"), {pool}, false, 0});
    }

    /// Sends one request on a new connection and returns all data received until the connection is closed.
    std::string ask(const std::string &request)
    {
        std::string answer;
        net::test::runUntilDone(context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(port);
            co_await caller->send(request);
            answer = co_await caller->readToEnd();
        });
        return answer;
    }

    /// A POST request that asks for its connection to be closed after the response.
    static std::string post(const std::string &target, const std::string &body, const std::string &fields = {})
    {
        return "POST " + target + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    boost::asio::io_context context;
    std::map<base::service_id, state::service_view> services;
    test_director director;
    test_gateway gateway;
    net::http_client client;
    endpoint_directory directory;
    service_catalog catalog{[this]() -> const service_catalog::service_map & {
        return services;
    }};
    admission requestAdmission{context.get_executor(), director};
    base::metric_registry registry;
    caller_metrics metrics{registry};
    open_requests open;
    forwarder requestForwarder{requestAdmission, directory, client, metrics};
    order_handler orderHandler{gateway, requestAdmission, directory, client, open, metrics};
    caller_api api{catalog, requestForwarder, orderHandler, open, metrics};
    readiness ready;
    health_api health{ready, registry, api};
    std::shared_ptr<net::http_server> server;
    std::vector<std::unique_ptr<raw_server>> endpoints;
    std::uint16_t port = 0;
    /// Leaves unfinished tasks to the destructor of the event loop, as at process exit.
    bool leaveTasksOpen = false;
};

} // namespace chervilbend::node::test
