#include "answers.hpp"

#include <chervilbend/node/callers/item_supply.hpp>
#include <chervilbend/node/callers/route_api.hpp>
#include <chervilbend/platform/platform_request_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;
namespace asio = boost::asio;

namespace
{

/// Says what a test wants of the items that requests need.
class test_supply : public node::item_supply
{
public:
    asio::awaitable<bool> supply(fleet::requested_item item, base::time_point /*until*/) override
    {
        wanted.push_back(item);
        co_return isHeld;
    }

    void noteMissing(const base::endpoint_id &endpoint, const fleet::requested_item & /*item*/) override
    {
        missing.push_back(endpoint);
    }

    bool isHeld = true;
    std::vector<fleet::requested_item> wanted;
    std::vector<base::endpoint_id> missing;
};

/// The callers' side of a node on the platform's wire, over real sockets, with scripted endpoints.
struct route_front {
    route_front()
    {
        auto sample = std::make_shared<fleet::traffic_configuration>();
        sample->version = 3;
        addRoute(*sample, "/status/", fleet::route_kind::repeatable, 2);
        addRoute(*sample, "/order/", fleet::route_kind::once, 1);
        addRoute(*sample, "/chat/", fleet::route_kind::stream, 2).resumable = true;
        addRoute(*sample, "/report/", fleet::route_kind::stream, 1);
        configuration = sample;
        requests.onMissing([this](const base::endpoint_id &endpoint, const fleet::requested_item &item) { supply.noteMissing(endpoint, item); });
        server = std::make_shared<net::http_server>(context.get_executor(), api);
        port = server->listen({"127.0.0.1", 0}).value();
        director.retries = 3;
    }

    ~route_front()
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

    void addAddress(std::uint16_t where)
    {
        const base::endpoint_id id("i-" + std::to_string(where));
        directory.set(id, {"127.0.0.1", where});
        director.setEndpoint({id, base::zone_id("a"), {"desk", "desk/tall"}, false, 0});
    }

    std::string ask(const std::string &path, const std::string &fields = {})
    {
        std::string answer;
        net::test::runUntilDone(context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(port);
            co_await caller->send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nChervilbend-Attempt-Id: own1\r\n" + fields
                                  + "Chervilbend-Deadline-Milliseconds: 5000\r\nContent-Length: 2\r\n\r\n{}");
            answer = co_await caller->readToEnd();
        });
        return answer;
    }

    asio::io_context context;
    std::shared_ptr<const fleet::traffic_configuration> configuration;
    test_director director;
    net::http_client client;
    node::endpoint_directory directory;
    node::admission gate{context.get_executor(), director};
    base::metric_registry registry;
    node::front_metrics metrics{registry};
    node::open_requests open;
    node::forwarder requests{gate, directory, client, metrics};
    test_supply supply;
    fleet::usage_meter usage;
    platform::platform_request_codec wire;
    node::route_api api{wire, requests, supply, usage, open, metrics};
    std::shared_ptr<net::http_server> server;
    std::vector<std::unique_ptr<raw_server>> endpoints;
    std::uint16_t port = 0;
};

std::string sealed(const std::string &body, const std::string &attempt = "own1", const std::string &status = "200 OK", const std::string &more = {})
{
    return "HTTP/1.1 " + status + "\r\nChervilbend-Attempt-Id: " + attempt + "\r\nChervilbend-Response-Seal: s1\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string numbered(int id)
{
    return chunk("id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n");
}

const std::string sealedStream =
    "HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string notRun = "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

/// Guards against orders that run twice, statuses that promise what is not true, and answers that are mixed up, cut or repeated.
class route_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_api_test);
    CPPUNIT_TEST(passesAnAnswerUnchanged);
    CPPUNIT_TEST(refusesBeforeAConfigurationIsKnown);
    CPPUNIT_TEST(unknownRouteIsNotFound);
    CPPUNIT_TEST(orderWithoutAnswerIsNeverSentAgain);
    CPPUNIT_TEST(orderThatReachedNobodyIsTriedElsewhere);
    CPPUNIT_TEST(certainRefusalsEndAsARefusal);
    CPPUNIT_TEST(promiseOfAServerThatMayHaveRunIsNotPassedOn);
    CPPUNIT_TEST(skipsTheAnswerToAnotherRequest);
    CPPUNIT_TEST(answerMayEndWithItsConnection);
    CPPUNIT_TEST(resetAnswerIsNotWhole);
    CPPUNIT_TEST(streamGoesOnAtAnotherEndpoint);
    CPPUNIT_TEST(streamThatCannotGoOnIsNotEnded);
    CPPUNIT_TEST(silentEndpointIsGivenUpForARepeatableRequest);
    CPPUNIT_TEST(missingItemIsRefused);
    CPPUNIT_TEST(engineWithoutTheItemIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void passesAnAnswerUnchanged()
    {
        route_front front;
        front.configure();
        std::string seen;
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            seen = co_await caller->readUntil("{}");
            co_await caller->send(sealed("the answer", "own1", "201 Made"));
        });
        const std::string answer = front.ask("/order/x?y=z");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "201 ") && contains(answer, "Chervilbend-Response-Seal: s1") && answer.ends_with("the answer"));
        CPPUNIT_ASSERT_MESSAGE(seen, seen.starts_with("POST /order/x?y=z HTTP/1.1") && contains(seen, "Host: h.example"));
        CPPUNIT_ASSERT(contains(seen, "Chervilbend-Expect-Instance: i-") && !contains(seen, "Chervilbend-Deadline-Milliseconds: 5000"));
    }

    void refusesBeforeAConfigurationIsKnown()
    {
        route_front front;
        CPPUNIT_ASSERT_MESSAGE("no route can be said not to exist", contains(front.ask("/order/x"), " 503 "));
    }

    void unknownRouteIsNotFound()
    {
        route_front front;
        front.configure();
        CPPUNIT_ASSERT(contains(front.ask("/other/x"), " 404 "));
    }

    void orderWithoutAnswerIsNeverSentAgain()
    {
        route_front front;
        front.configure();
        int received = 0;
        const auto lose = [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            ++received;
        };
        front.addEndpoint(lose);
        front.addEndpoint(lose);
        const std::string answer = front.ask("/order/x");
        CPPUNIT_ASSERT_EQUAL(1, received);
        CPPUNIT_ASSERT_MESSAGE("it may have run", contains(answer, " 502 "));
    }

    void orderThatReachedNobodyIsTriedElsewhere()
    {
        route_front front;
        front.configure();
        front.addAddress(1);
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealed("done"));
        });
        const std::string answer = front.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE("a refused connection is no attempt: " + answer, answer.ends_with("done"));
    }

    void certainRefusalsEndAsARefusal()
    {
        route_front front;
        front.configure();
        front.addEndpoint(answerAndClose(notRun));
        front.addEndpoint(answerAndClose(notRun));
        const std::string answer = front.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "Retry-After: 0.2"));
    }

    void promiseOfAServerThatMayHaveRunIsNotPassedOn()
    {
        route_front front;
        front.configure();
        front.addEndpoint(answerAndClose(sealed("", "own1", "503 Busy")));
        CPPUNIT_ASSERT(contains(front.ask("/order/x"), " 502 "));
    }

    void skipsTheAnswerToAnotherRequest()
    {
        route_front front;
        front.configure();
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealed("of another", "other7") + sealed("mine"));
        });
        const std::string answer = front.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("mine") && !contains(answer, "of another"));
    }

    void answerMayEndWithItsConnection()
    {
        route_front front;
        front.configure();
        front.addEndpoint(answerAndClose("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\n\r\nno length"));
        const std::string answer = front.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 200 ") && answer.ends_with("no length"));
    }

    void resetAnswerIsNotWhole()
    {
        route_front front;
        front.configure();
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\n\r\nno len");
            co_await net::sleepFor(base::milliseconds(20));
            caller->socket.set_option(asio::socket_base::linger(true, 0));
            // Asio's destructor would take the option back.
            caller->close();
        });
        const std::string answer = front.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
    }

    void streamGoesOnAtAnotherEndpoint()
    {
        route_front front;
        front.configure();
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numbered(1) + numbered(2) + "9\r\nid: 3\ndat\r\n");
        });
        std::string second;
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            second = co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numbered(3) + numbered(4) + lastChunk);
        });
        const std::string answer = front.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(second, contains(second, "Last-Event-Id: 2"));
        for (int id = 1; id <= 4; ++id) {
            const std::string word = "word" + std::to_string(id);
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, word) && answer.find(word) == answer.rfind(word));
        }
        CPPUNIT_ASSERT(answer.find("HTTP/1.1") == answer.rfind("HTTP/1.1") && answer.ends_with("0\r\n\r\n"));
    }

    void streamThatCannotGoOnIsNotEnded()
    {
        route_front front;
        front.configure();
        front.addEndpoint(answerAndClose(sealedStream + numbered(1)));
        const std::string answer = front.ask("/report/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1") && !answer.ends_with("0\r\n\r\n") && !contains(answer, "event: error"));
    }

    void silentEndpointIsGivenUpForARepeatableRequest()
    {
        route_front front;
        front.configure();
        front.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> { co_await caller->readToEnd(); });
        front.addEndpoint(answerAndClose(sealed("from the second")));
        const std::string answer = front.ask("/status/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("from the second"));
    }

    void missingItemIsRefused()
    {
        route_front front;
        front.configure();
        front.supply.isHeld = false;
        const std::string answer = front.ask("/chat/x", "Chervilbend-Model: tall/a3\r\n");
        CPPUNIT_ASSERT(contains(answer, " 503 "));
        CPPUNIT_ASSERT(front.supply.wanted.size() == 1 && front.supply.wanted.at(0).adapter == "a3");
    }

    void engineWithoutTheItemIsReported()
    {
        route_front front;
        front.configure();
        front.addEndpoint(answerAndClose("HTTP/1.1 421 Misdirected\r\nChervilbend-Attempt-Id: own1\r\nContent-Length: 0\r\n\r\n"));
        front.addEndpoint(answerAndClose(sealedStream + numbered(1) + lastChunk));
        const std::string answer = front.ask("/chat/x", "Chervilbend-Model: tall\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), front.supply.missing.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_api_test);
