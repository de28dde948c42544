#include "answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

using namespace chervilbend;
using namespace chervilbend::node::test;
using routing::request_outcome;

/// Guards against responses that are truncated, delivered to the wrong caller, retried after the first byte was sent, or that report a wrong
/// run state.
class caller_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_api_test);
    CPPUNIT_TEST(forwardsStreamIncrementally);
    CPPUNIT_TEST(brokenStreamEndsWithErrorEvent);
    CPPUNIT_TEST(truncatedResponseBecomesProblem);
    CPPUNIT_TEST(streamWithoutDoneEventIsIncomplete);
    CPPUNIT_TEST(responseWithoutLengthIsRejected);
    CPPUNIT_TEST(retriesWhenNothingWasSent);
    CPPUNIT_TEST(retriesOnlyBeforeFirstByte);
    CPPUNIT_TEST(overloadedEndpointReportsNotRun);
    CPPUNIT_TEST(restartedEngineReportsNotRun);
    CPPUNIT_TEST(deadlineEndsTheRequest);
    CPPUNIT_TEST(disconnectCancelsEngineRequest);
    CPPUNIT_TEST(disconnectRemovesQueuedRequest);
    CPPUNIT_TEST(queuedRequestIsDispatchedOrRefused);
    CPPUNIT_TEST(slowCallerAppliesBackpressure);
    CPPUNIT_TEST(openTasksMayOutliveTheirDependencies);
    CPPUNIT_TEST(forwardsLongResponsesUnchanged);
    CPPUNIT_TEST(responsesAreNeverMixedUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void forwardsStreamIncrementally()
    {
        caller_api_fixture fixture;
        bool firstEventReceived = false;
        fixture.addEndpoint("tall@3", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}]}");
            co_await caller->send(streamHeader + contentEvent("one"));
            // The second event is sent only after the caller has received the first one: a proxy that buffers the stream would hang here.
            co_await waitUntil([&] { return firstEventReceived; });
            co_await caller->send(contentEvent("two") + doneEvent + "0\r\n\r\n");
        });
        std::string rest;
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send(caller_api_fixture::post("/v1/chat/completions", chatBody, "X-Account: north\r\nX-Priority: urgent\r\n"));
            const std::string start = co_await caller->readUntil("one");
            CPPUNIT_ASSERT(contains(start, "200 OK"));
            firstEventReceived = true;
            rest = co_await caller->readToEnd();
        });
        CPPUNIT_ASSERT(contains(rest, "two"));
        CPPUNIT_ASSERT(contains(rest, "data: [DONE]\n\n\r\n0\r\n\r\n"));
        const routing::request_facts &facts = fixture.director.submitted.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), facts.account.value());
        CPPUNIT_ASSERT_MESSAGE("the declaration limits the class", facts.urgency == base::work_class::normal);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), facts.maxTokens.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), fixture.director.tokens);
        CPPUNIT_ASSERT(fixture.director.outcomes == std::vector{request_outcome::answered});
    }

    void brokenStreamEndsWithErrorEvent()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("tall@3", answerAndClose(streamHeader + contentEvent("one") + "20\r\ndata: {\"choices\":[{\"de"));
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT(contains(answer, "one"));
        CPPUNIT_ASSERT(contains(answer, "event: error\ndata: {\"error\":"));
        CPPUNIT_ASSERT(contains(answer, "\"run\":\"unknown\""));
        CPPUNIT_ASSERT_MESSAGE("a fragment of an event was forwarded", !contains(answer, "\"de\r\n"));
        CPPUNIT_ASSERT_MESSAGE("the broken stream was terminated as if it were complete", !contains(answer, "[DONE]") && !contains(answer, "\r\n0\r\n"));
        CPPUNIT_ASSERT(fixture.director.outcomes == std::vector{request_outcome::connectionLost});
    }

    void truncatedResponseBecomesProblem()
    {
        caller_api_fixture fixture;
        std::string truncated = completeResponse("{\"id\":\"0123456789\"}");
        truncated.resize(truncated.size() - 5);
        fixture.addEndpoint("tall@3", answerAndClose(truncated));
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT(contains(answer, "502 Bad Gateway"));
        CPPUNIT_ASSERT(contains(answer, "\"run\":\"unknown\""));
        CPPUNIT_ASSERT(!contains(answer, "\"id\""));
    }

    void streamWithoutDoneEventIsIncomplete()
    {
        // The engine shut down gracefully and terminated its stream: the HTTP response is complete, but its content is not.
        caller_api_fixture fixture;
        fixture.addEndpoint("tall@3", answerAndClose(streamHeader + contentEvent("one") + lastChunk));
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "event: error") && !contains(answer, "\r\n0\r\n"));
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "chervilbend_broken_streams_total 1\n"));
    }

    void responseWithoutLengthIsRejected()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("service/shop", answerAndClose("HTTP/1.1 200 OK\r\n\r\n{\"stock\":1"));
        const std::string answer = fixture.ask(caller_api_fixture::post("/stock", "{}"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 ") && contains(answer, "endpoint-invalid-answer"));
        CPPUNIT_ASSERT(!contains(answer, "\"stock\""));
    }

    void retriesWhenNothingWasSent()
    {
        caller_api_fixture fixture;
        const net::test::closed_port closedPort(fixture.context);
        fixture.addAddress("tall@3", closedPort.number());
        fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{\"id\":7,\"usage\":{\"completion_tokens\": 12}}")));
        fixture.director.retriesLeft = 1;
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && contains(answer, "X-Run-State: ran") && contains(answer, "\"id\":7"));
        CPPUNIT_ASSERT((fixture.director.outcomes == std::vector{request_outcome::notSent, request_outcome::answered}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), fixture.director.tokens);

        fixture.director.nextEndpoint = 0;
        const std::string refused = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "\"run\":\"not run\"") && contains(refused, "retry budget is exhausted"));
    }

    void retriesOnlyBeforeFirstByte()
    {
        for (const bool byteSent : {false, true}) {
            caller_api_fixture fixture;
            std::string truncated = streamHeader;
            truncated.append(byteSent ? contentEvent("one") : "");
            std::string complete = streamHeader;
            complete.append(contentEvent("two")).append(doneEvent).append(lastChunk);
            raw_server &broken = fixture.addEndpoint("tall@3", answerAndClose(truncated));
            raw_server &intact = fixture.addEndpoint("tall@3", answerAndClose(complete));
            fixture.director.retriesLeft = 1;
            const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
            CPPUNIT_ASSERT_EQUAL(1, broken.connections);
            CPPUNIT_ASSERT_EQUAL(byteSent ? 0 : 1, intact.connections);
            CPPUNIT_ASSERT_EQUAL(byteSent, contains(answer, "event: error"));
            CPPUNIT_ASSERT(fixture.director.outcomes.front() == request_outcome::connectionLost);
            CPPUNIT_ASSERT(fixture.director.open.empty());
        }
    }

    void overloadedEndpointReportsNotRun()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{}", "503 Service Unavailable")));
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 ") && contains(answer, "Retry-After") && contains(answer, "X-Run-State: not run"));
        CPPUNIT_ASSERT(fixture.director.outcomes == std::vector{request_outcome::refused});
    }

    /// Guards against forwarding an engine's 404: callers would conclude that a declared model is unknown.
    void restartedEngineReportsNotRun()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{}", "404 Not Found")));
        const std::string refused = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(refused, refused.starts_with("HTTP/1.1 503 ") && contains(refused, "Retry-After") && contains(refused, "X-Run-State: not run"));
        fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{\"other\":1}")));
        fixture.director.retriesLeft = 1;
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 "));
    }

    void deadlineEndsTheRequest()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("tall@3", [](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> { co_await caller->readToEnd(); });
        fixture.director.retriesLeft = 5;
        const std::string answer = fixture.ask(caller_api_fixture::post("/v1/chat/completions", chatBody, "X-Deadline-Ms: 400\r\n"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 ") && contains(answer, "\"run\":\"unknown\""));
        CPPUNIT_ASSERT(fixture.director.outcomes == std::vector{request_outcome::timedOut});
    }

    void disconnectCancelsEngineRequest()
    {
        caller_api_fixture fixture;
        int closed = 0;
        fixture.addEndpoint("tall@3", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}]}");
            co_await caller->send(streamHeader + contentEvent("one"));
            co_await caller->readToEnd();
            ++closed;
        });
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            for (int i = 0; i < 20; ++i) {
                const auto caller = co_await raw_peer::connect(fixture.port);
                co_await caller->send(caller_api_fixture::post("/v1/chat/completions", chatBody));
                // Odd iterations disconnect after the first event, while the engine is silent; even ones before anything was read.
                if (i % 2 == 1) {
                    co_await caller->readUntil("one");
                } else {
                    co_await waitUntil([&] { return !fixture.director.open.empty(); });
                }
                caller->close();
                co_await waitUntil([&] { return closed == i + 1 && fixture.director.open.empty() && fixture.open.size() == 0; });
            }
            co_await waitUntil([&] { return fixture.server->openConnections() == 0; });
        });
        CPPUNIT_ASSERT(fixture.director.outcomes == std::vector<request_outcome>(20, request_outcome::cancelled));
    }

    void disconnectRemovesQueuedRequest()
    {
        caller_api_fixture fixture;
        raw_server &engine = fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{}")));
        fixture.director.holdDispatches = true;
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send(caller_api_fixture::post("/v1/chat/completions", chatBody));
            co_await waitUntil([&] { return fixture.requestAdmission.waiting() == 1; });
            caller->close();
            co_await waitUntil([&] { return fixture.requestAdmission.waiting() == 0 && fixture.director.open.empty(); });
        });
        CPPUNIT_ASSERT_EQUAL(0, engine.connections);
    }

    void queuedRequestIsDispatchedOrRefused()
    {
        caller_api_fixture fixture;
        fixture.addEndpoint("tall@3", answerAndClose(completeResponse("{}")));
        for (const bool refuse : {false, true}) {
            fixture.director.holdDispatches = true;
            // No further command reaches the director: only its scheduled wake-up can dispatch the request.
            fixture.director.wakeup = base::clock::now() + base::milliseconds(50);
            std::string answer;
            net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
                const auto caller = co_await raw_peer::connect(fixture.port);
                co_await caller->send(caller_api_fixture::post("/v1/chat/completions", chatBody));
                co_await waitUntil([&] { return fixture.requestAdmission.waiting() == 1; });
                if (refuse) {
                    fixture.director.refusals.push_back({fixture.director.lastHandle, {base::error_kind::deadlineUnmeetable, "too late"}});
                    fixture.director.open.clear();
                    fixture.director.queued.clear();
                }
                fixture.director.holdDispatches = false;
                answer = co_await caller->readToEnd();
            });
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(refuse ? "HTTP/1.1 503 " : "HTTP/1.1 200 "));
            CPPUNIT_ASSERT_EQUAL(refuse, contains(answer, "too late"));
        }
    }

    void slowCallerAppliesBackpressure()
    {
        caller_api_fixture fixture;
        std::size_t sent = 0;
        fixture.addEndpoint("tall@3", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}]}");
            bool open = co_await caller->send(streamHeader);
            const std::string piece = contentEvent(std::string(32 * 1024, 'x'));
            while (open) {
                open = co_await caller->send(piece);
                sent += piece.size();
            }
        });
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send(caller_api_fixture::post("/v1/chat/completions", chatBody));
            std::size_t before = 1;
            while (sent != before) {
                before = sent;
                co_await net::sleepFor(base::milliseconds(200));
            }
            caller->close();
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent < 32 * 1024 * 1024);
    }

    void openTasksMayOutliveTheirDependencies()
    {
        // The process exits with a queued request, an open request and an order in progress. The address sanitizer reports any use after free.
        caller_api_fixture fixture;
        fixture.leaveTasksOpen = true;
        fixture.addEndpoint("tall@3", answerAndClose(streamHeader + contentEvent("one")));
        fixture.addEndpoint("service/shop", [](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> { co_await caller->readToEnd(); });
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            const auto order = co_await raw_peer::connect(fixture.port);
            co_await order->send(caller_api_fixture::post("/orders", "{\"order\":\"k\"}"));
            const auto request = co_await raw_peer::connect(fixture.port);
            co_await request->send(caller_api_fixture::post("/stock", "{}"));
            co_await waitUntil([&] { return fixture.director.open.size() == 2; });
            fixture.director.holdDispatches = true;
            const auto queued = co_await raw_peer::connect(fixture.port);
            co_await queued->send(caller_api_fixture::post("/v1/chat/completions", chatBody));
            co_await waitUntil([&] { return fixture.requestAdmission.waiting() == 1 && fixture.open.size() == 4; });
        });
    }

    void forwardsLongResponsesUnchanged()
    {
        caller_api_fixture fixture;
        std::string body;
        while (body.size() < 9'000'000) {
            body.append(std::to_string(body.size()));
        }
        fixture.addEndpoint("service/shop", answerAndClose(completeResponse(body)));
        const std::string answer = fixture.ask(caller_api_fixture::post("/stock", "{}"));
        CPPUNIT_ASSERT_MESSAGE("the response was truncated at " + std::to_string(answer.size()), answer.ends_with("\r\n0\r\n\r\n"));
        std::string unchunked;
        std::size_t at = answer.find("\r\n\r\n") + 4;
        for (std::size_t size = 1; size > 0;) {
            size = std::stoul(answer.substr(at, 16), nullptr, 16);
            at = answer.find("\r\n", at) + 2;
            unchunked.append(answer, at, size);
            at += size + 2;
        }
        CPPUNIT_ASSERT(unchunked == body);
    }

    void responsesAreNeverMixedUp()
    {
        // 40 concurrent callers on persistent connections. The service responds after random delays and sometimes truncates a response or closes
        // the connection.
        caller_api_fixture fixture;
        const unsigned seed = std::random_device{}();
        std::cout << "seed=" << seed << std::endl;
        std::mt19937 random(seed);
        fixture.director.retriesLeft = 1'000;
        fixture.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            while (!caller->closed) {
                const std::string request = co_await caller->readUntil("}");
                const std::size_t start = request.rfind('{');
                if (start == std::string::npos) {
                    break;
                }
                co_await net::sleepFor(base::milliseconds(random() % 5));
                std::string answer = completeResponse(request.substr(start) + std::string(random() % 20'000, 'x'));
                const unsigned failureMode = random() % 10;
                answer.resize(failureMode == 0 ? answer.size() / 2 : answer.size());
                co_await caller->send(answer);
                if (failureMode <= 1) {
                    break;
                }
            }
        });
        int finished = 0;
        int correctResponses = 0;
        const auto call = [&](int callerIndex) -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            for (int i = 0; i < 25; ++i) {
                const std::string nonce = "{\"n\":\"" + std::to_string(callerIndex) + "-" + std::to_string(i) + "\"}";
                co_await caller->send("POST /stock HTTP/1.1\r\nHost: node\r\nContent-Length: " + std::to_string(nonce.size()) + "\r\n\r\n" + nonce);
                const std::string head = co_await caller->readUntil("\r\n\r\n");
                const std::size_t length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
                std::string body = co_await caller->readUntil(nonce);
                correctResponses += head.starts_with("HTTP/1.1 200 ") && body == nonce ? 1 : 0;
                while (caller->received.size() < length - nonce.size() && !caller->closed) {
                    char piece[4096];
                    const auto [error, size] = co_await caller->socket.async_read_some(boost::asio::buffer(piece), net::test::awaitTuple);
                    caller->received.append(piece, size);
                    caller->closed = caller->closed || error;
                }
                caller->received.clear();
            }
            ++finished;
        };
        net::test::runUntilDone(fixture.context, [&]() -> boost::asio::awaitable<void> {
            for (int callerIndex = 0; callerIndex < 40; ++callerIndex) {
                boost::asio::co_spawn(fixture.context, call(callerIndex), boost::asio::detached);
            }
            co_await waitUntil([&] { return finished == 40; });
        });
        CPPUNIT_ASSERT_EQUAL(1'000, correctResponses);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_api_test);
