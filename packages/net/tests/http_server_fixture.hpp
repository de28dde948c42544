#pragma once

#include "raw_peer.hpp"

#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/http_handler.hpp>
#include <chervilbend/net/http_server.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chervilbend::net::test
{

/// Answers "/echo" with the body, "/slow" after a delay; "/hang" waits to be cancelled; "/cut" ends in mid-stream; "/two-parts" ends when it is told to;
/// "/flood" streams without end; "/throw" fails.
class scripted_handler : public http_handler
{
public:
    boost::asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange) override
    {
        const std::string target(exchange->request().target());
        targets.push_back(target);
        hosts.emplace_back(exchange->request()[http::field::host]);
        headers.push_back(exchange->request());
        if (target == "/throw") {
            throw std::runtime_error("on purpose");
        }
        if (target == "/hang") {
            // The deleter also runs when the coroutine is destroyed.
            const std::shared_ptr<void> guard(nullptr, [this](void *) { ++cancelled; });
            co_await sleepFor(base::milliseconds(15'000));
            co_return;
        }
        if (target == "/cut") {
            co_await exchange->startStream(http::response<http::empty_body>());
            co_await exchange->writeChunk("part");
            co_return;
        }
        if (target == "/flood") {
            const std::string block(64 * 1024, 'x');
            bool open = co_await exchange->startStream(http::response<http::empty_body>());
            while (open) {
                open = co_await exchange->writeChunk(block);
                streamedBytes += open ? block.size() : 0;
            }
            co_return;
        }
        if (target == "/two-parts") {
            co_await exchange->startStream(http::response<http::empty_body>());
            co_await exchange->writeChunk("part");
            co_await waitUntil([this] { return mayFinish; });
            co_await exchange->finishStream();
            co_return;
        }
        if (target == "/slow") {
            co_await sleepFor(base::milliseconds(120));
        }
        http_response response(http::status::ok, 11);
        response.body() = exchange->request().body() + "!";
        co_await exchange->respond(std::move(response));
    }

    std::vector<std::string> targets;
    std::vector<std::string> hosts;
    std::vector<http::fields> headers;
    std::size_t streamedBytes = 0;
    int cancelled = 0;
    /// Lets "/two-parts" end.
    bool mayFinish = false;
};

/// A server of the handler on a loopback port.
struct server_fixture {
    explicit server_fixture(http_server_limits limits = {})
        : server(std::make_shared<http_server>(context.get_executor(), handler, limits))
        , port(server->listen({"127.0.0.1", 0}).value())
    {
    }

    ~server_fixture()
    {
        server->closeAll();
        context.restart();
        context.run_for(std::chrono::milliseconds(50));
    }

    /// Sends @p request and returns all data until the server closes the connection.
    std::string sendAndReadAll(const std::string &request)
    {
        std::string answer;
        runUntilDone(context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(port);
            co_await caller->send(request);
            answer = co_await caller->readToEnd();
        });
        return answer;
    }

    boost::asio::io_context context;
    scripted_handler handler;
    std::shared_ptr<http_server> server;
    std::uint16_t port;
};

} // namespace chervilbend::net::test
