#include "answers.hpp"

#include <chervilbend/node/callers/event_scanner.hpp>
#include <chervilbend/node/callers/inference_request.hpp>
#include <chervilbend/node/callers/request_path.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace chervilbend;
using namespace chervilbend::node;
using namespace chervilbend::node::test;

/// Guards against requests that are assigned to a pool, account, class or route other than the declared one.
class caller_input_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_input_test);
    CPPUNIT_TEST(findsModelsAndAdapters);
    CPPUNIT_TEST(findsLongestRoute);
    CPPUNIT_TEST(rejectsUnroutableRequests);
    CPPUNIT_TEST(reportsUnknownRunStateForRepeatedOrders);
    CPPUNIT_TEST(rejectsAmbiguousPaths);
    CPPUNIT_TEST(limitsDeadlineAndClass);
    CPPUNIT_TEST(hashesPromptPrefixes);
    CPPUNIT_TEST(dropsConnectionSpecificFields);
    CPPUNIT_TEST(scannerIsIndependentOfChunking);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsModelsAndAdapters()
    {
        caller_api_fixture fixture;
        CPPUNIT_ASSERT_EQUAL(std::string("tall@3"), fixture.catalog.findModel("tall")->pool);
        CPPUNIT_ASSERT_EQUAL(std::string("tall@3/legal@2"), fixture.catalog.findModel("legal")->pool);
        CPPUNIT_ASSERT_EQUAL(std::string("tall@3/legal@2"), fixture.catalog.findModel("tall/legal")->pool);
        CPPUNIT_ASSERT(!fixture.catalog.findModel("tall@3"));
        state::service_view &chat = fixture.services[base::service_id("chat")];
        chat.declaration.models.front().version = "4";
        chat.version = base::log_offset(9);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a new version takes effect immediately", std::string("tall@4"), fixture.catalog.findModel("tall")->pool);
        fixture.services.erase(base::service_id("chat"));
        CPPUNIT_ASSERT(!fixture.catalog.findModel("tall"));
        const std::string list = fixture.ask("GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(list, contains(list, "\"data\":[]"));
    }

    void findsLongestRoute()
    {
        caller_api_fixture fixture;
        config::service_declaration &shop = fixture.services[base::service_id("shop")].declaration;
        shop.routes.push_back({"/", "", true, "", base::work_class::batch, base::milliseconds(1)});
        shop.routes.push_back({"/orders/", "GET", true, "", base::work_class::normal, base::milliseconds(2)});
        const auto deadlineOf = [&](const char *method, const char *path) {
            return fixture.catalog.findRoute(method, path)->route.deadline.count();
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5'000), deadlineOf("POST", "/orders"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5'000), deadlineOf("POST", "/orders/7/items"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), deadlineOf("GET", "/orders/7"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), deadlineOf("PUT", "/orders/7"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), deadlineOf("POST", "/ordersheet"));
    }

    void rejectsUnroutableRequests()
    {
        caller_api_fixture fixture;
        const auto kindOf = [&](const std::string &request) {
            const std::string answer = fixture.ask(request);
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "application/problem+json") && contains(answer, "X-Run-State: not run"));
            const std::size_t start = answer.find("urn:chervilbend:error:") + 22;
            return answer.substr(start, answer.find('"', start) - start);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("unknown-model"), kindOf(caller_api_fixture::post("/v1/completions", "{\"model\":\"none\"}")));
        CPPUNIT_ASSERT_EQUAL(std::string("bad-request"), kindOf(caller_api_fixture::post("/v1/completions", "{\"model\":7}")));
        CPPUNIT_ASSERT_EQUAL(std::string("bad-request"), kindOf(caller_api_fixture::post("/v1/completions", std::string(100'000, '['))));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown-route"), kindOf(caller_api_fixture::post("/v2/none", "{}")));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown-route"), kindOf("GET /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("no-endpoint"), kindOf(caller_api_fixture::post("/v1/completions", "{\"model\":\"tall\"}")));
        CPPUNIT_ASSERT_EQUAL(std::string("bad-request"), kindOf(caller_api_fixture::post("/stock", "{}", "X-Priority: high\r\n")));
        CPPUNIT_ASSERT_EQUAL(std::string("bad-request"), kindOf(caller_api_fixture::post("/stock", "{}", "X-Deadline-Ms: 1s\r\n")));
        CPPUNIT_ASSERT_EQUAL(std::string("bad-request"), kindOf(caller_api_fixture::post("/stock/../orders", "{}")));
    }

    /// Guards against a wrong run state: a node without the current configuration responded 404 "not run" to a repeated order that had already
    /// run through another node.
    void reportsUnknownRunStateForRepeatedOrders()
    {
        caller_api_fixture fixture;
        const std::string order = caller_api_fixture::post("/burn", "{}", "Idempotency-Key: k\r\n");
        const std::string firstOrder = caller_api_fixture::post("/burn", "{}", "Idempotency-Key: k\r\nIdempotency-Attempt: 1\r\n");
        const auto expect = [&fixture](const std::string &request, const char *status, const char *run) {
            const std::string answer = fixture.ask(request);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(status) && contains(answer, std::string("X-Run-State: ") + run + "\r\n"));
        };
        expect(order, "HTTP/1.1 404 ", "unknown");
        expect(firstOrder, "HTTP/1.1 404 ", "not run");
        fixture.ready.setMissing("configuration");
        expect(order, "HTTP/1.1 503 ", "unknown");
        expect(firstOrder, "HTTP/1.1 503 ", "not run");
        expect(caller_api_fixture::post("/v1/completions", "{\"model\":\"none\"}"), "HTTP/1.1 503 ", "not run");
    }

    void rejectsAmbiguousPaths()
    {
        for (const char *path : {"", "a", "//a", "/a//b", "/./a", "/a/..", "/a%2Fb", "/a/%2e%2E/b", "/a\\b", "/a%5Cb", "/a%00", "/a%2", "http://a/b"}) {
            CPPUNIT_ASSERT_MESSAGE(path, !isNormalizedPath(path));
        }
        for (const char *path : {"/", "/a", "/a/", "/a/b.c/..d", "/a%20b"}) {
            CPPUNIT_ASSERT_MESSAGE(path, isNormalizedPath(path));
        }
    }

    void limitsDeadlineAndClass()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("service/shop", answerAndClose(completeResponse("{}")));
        const auto factsFor = [&](const std::string &fields) {
            fixture.ask(caller_api_fixture::post("/stock", "{}", fields));
            return fixture.director.submitted.back();
        };
        const base::time_point before = base::clock::now();
        const routing::request_facts aboveLimits = factsFor("X-Deadline-Ms: 900000\r\nX-Priority: urgent\r\n");
        CPPUNIT_ASSERT(aboveLimits.deadline <= base::clock::now() + base::milliseconds(5'000) && aboveLimits.deadline >= before + base::milliseconds(5'000));
        CPPUNIT_ASSERT(aboveLimits.urgency == base::work_class::normal);
        CPPUNIT_ASSERT_EQUAL(std::string("default"), aboveLimits.account.value());
        const routing::request_facts belowLimits = factsFor("X-Deadline-Ms: 1000\r\nX-Priority: batch\r\nX-Account: b\r\n");
        CPPUNIT_ASSERT(belowLimits.deadline <= base::clock::now() + base::milliseconds(1'000));
        CPPUNIT_ASSERT(belowLimits.urgency == base::work_class::batch);
        CPPUNIT_ASSERT_MESSAGE("the account is part of the fingerprint", aboveLimits.fingerprint != belowLimits.fingerprint);
        CPPUNIT_ASSERT(aboveLimits.fingerprint == factsFor("").fingerprint);
    }

    void hashesPromptPrefixes()
    {
        const std::string system(2'000, 's');
        const auto read = [](const std::string &prompt, const std::string &more = {}) {
            inference_request_reader reader;
            return reader
                .read("{\"model\":\"m\"," + more + "\"messages\":[{\"role\":\"system\",\"content\":[{\"type\":\"text\",\"text\":\"" + prompt + "\"}]}]}")
                .value();
        };
        CPPUNIT_ASSERT(read(system + "a").prefix == read(system + "b").prefix);
        CPPUNIT_ASSERT(read(system).prefix != read("t" + system).prefix);
        CPPUNIT_ASSERT(read("short").prefix == 0);
        CPPUNIT_ASSERT(read(system).promptTokens.count() > 490 && read(system).promptTokens.count() < 520);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), read("a", "\"max_tokens\":5,").maxTokens.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4'096), read("a", "\"max_tokens\":-5,").maxTokens.count());
    }

    void dropsConnectionSpecificFields()
    {
        caller_api_fixture fixture;
        std::string received;
        fixture.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            received = co_await caller->readUntil("{}");
            co_await caller->send("HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nKeep-Alive: 9\r\nContent-Length: 0\r\n\r\n");
        });
        const std::string answer = fixture.ask("POST /stock?q=1 HTTP/1.1\r\nHost: node\r\nAuthorization: t\r\nX-Secret: s\r\nKeep-Alive: 5\r\nTE: trailers\r\n"
                                               "X-Priority: urgent\r\nX-Deadline-Ms: 99999999\r\nConnection: close, X-Secret\r\nContent-Length: 2\r\n\r\n{}");
        CPPUNIT_ASSERT_MESSAGE(received, contains(received, "POST /stock?q=1 HTTP/1.1") && contains(received, "Authorization: t"));
        CPPUNIT_ASSERT_MESSAGE(
            received, !contains(received, "X-Secret") && !contains(received, "Keep-Alive") && !contains(received, "TE:") && !contains(received, "Host: node"));
        CPPUNIT_ASSERT_MESSAGE("priority and deadline were not limited by the declaration: " + received,
                               contains(received, "X-Priority: normal") && !contains(received, "urgent") && !contains(received, "99999999"));
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Set-Cookie: a") && contains(answer, "Set-Cookie: b") && !contains(answer, "Keep-Alive"));
    }

    void scannerIsIndependentOfChunking()
    {
        const bool propertyHolds = rc::check("token count and forwarded bytes do not depend on how the stream is split", [] {
            const std::string end = *rc::gen::element<std::string>("\n\n", "\r\n\r\n");
            const auto texts = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
            std::string all;
            for (const std::string &text : texts) {
                all.append("data: {").append(text).append("}").append(end);
            }
            all += "data: [DONE]" + end;
            event_scanner scanner;
            std::string output;
            for (std::size_t at = 0; at < all.size();) {
                const std::size_t size = *rc::gen::inRange<std::size_t>(1, 30);
                output += scanner.feed(std::string_view(all).substr(at, size));
                at += size;
            }
            RC_ASSERT(output == all);
            RC_ASSERT(scanner.isDone() && !scanner.isInsideEvent());
            RC_ASSERT(scanner.tokens().count() == static_cast<std::int64_t>(texts.size()));
        });
        CPPUNIT_ASSERT(propertyHolds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_input_test);
