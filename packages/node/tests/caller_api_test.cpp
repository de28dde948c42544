#include "answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

using namespace chervilbend;
using namespace chervilbend::node::test;
using routing::request_outcome;

/// Guards against answers that are cut, mixed up, repeated after a byte was sent, or that lie about whether the work ran.
class caller_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_api_test);
    CPPUNIT_TEST(passesStreamOnPieceByPiece);
    CPPUNIT_TEST(brokenStreamEndsWithErrorEvent);
    CPPUNIT_TEST(brokenWholeAnswerBecomesProblem);
    CPPUNIT_TEST(streamWithoutEndMarkIsNotWhole);
    CPPUNIT_TEST(answerWithoutLengthIsRefused);
    CPPUNIT_TEST(triesAnotherEndpointWhenNothingWasSent);
    CPPUNIT_TEST(repeatsOnlyBeforeFirstByte);
    CPPUNIT_TEST(overloadedEndpointIsNotRun);
    CPPUNIT_TEST(restartedEngineIsNotRun);
    CPPUNIT_TEST(deadlineEndsTheRequest);
    CPPUNIT_TEST(leavingCallerCancelsAtTheEngine);
    CPPUNIT_TEST(leavingCallerLeavesTheQueue);
    CPPUNIT_TEST(queuedRequestIsWokenOrRefused);
    CPPUNIT_TEST(slowCallerHoldsTheEngineBack);
    CPPUNIT_TEST(openTasksMayOutliveTheirCollaborators);
    CPPUNIT_TEST(longAnswersPassUnchanged);
    CPPUNIT_TEST(answersAreNeverMixedUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void passesStreamOnPieceByPiece()
    {
        test_front front;
        bool firstSeen = false;
        front.addEndpoint("tall@3", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}]}");
            co_await caller->send(streamHead + event("one"));
            // The second event is sent only after the first one has reached the caller: a proxy that collects would hang here.
            co_await waitUntil([&] { return firstSeen; });
            co_await caller->send(event("two") + doneEvent + "0\r\n\r\n");
        });
        std::string rest;
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            co_await caller->send(test_front::post("/v1/chat/completions", chatBody, "X-Account: north\r\nX-Priority: urgent\r\n"));
            const std::string start = co_await caller->readUntil("one");
            CPPUNIT_ASSERT(contains(start, "200 OK"));
            firstSeen = true;
            rest = co_await caller->readToEnd();
        });
        CPPUNIT_ASSERT(contains(rest, "two"));
        CPPUNIT_ASSERT(contains(rest, "data: [DONE]\n\n\r\n0\r\n\r\n"));
        const routing::request_facts &facts = front.director.submitted.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), facts.account.value());
        CPPUNIT_ASSERT_MESSAGE("the declaration bounds the class", facts.urgency == base::work_class::normal);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), facts.maxTokens.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), front.director.tokens);
        CPPUNIT_ASSERT(front.director.outcomes == std::vector{request_outcome::answered});
    }

    void brokenStreamEndsWithErrorEvent()
    {
        test_front front;
        front.addEndpoint("tall@3", answerAndClose(streamHead + event("one") + "20\r\ndata: {\"choices\":[{\"de"));
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT(contains(answer, "one"));
        CPPUNIT_ASSERT(contains(answer, "event: error\ndata: {\"error\":"));
        CPPUNIT_ASSERT(contains(answer, "\"run\":\"unknown\""));
        CPPUNIT_ASSERT_MESSAGE("a fragment of an event went out", !contains(answer, "\"de\r\n"));
        CPPUNIT_ASSERT_MESSAGE("the broken stream was ended as if it were whole", !contains(answer, "[DONE]") && !contains(answer, "\r\n0\r\n"));
        CPPUNIT_ASSERT(front.director.outcomes == std::vector{request_outcome::connectionLost});
    }

    void brokenWholeAnswerBecomesProblem()
    {
        test_front front;
        std::string cut = whole("{\"id\":\"0123456789\"}");
        cut.resize(cut.size() - 5);
        front.addEndpoint("tall@3", answerAndClose(cut));
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT(contains(answer, "502 Bad Gateway"));
        CPPUNIT_ASSERT(contains(answer, "\"run\":\"unknown\""));
        CPPUNIT_ASSERT(!contains(answer, "\"id\""));
    }

    void streamWithoutEndMarkIsNotWhole()
    {
        // The engine was stopped in an orderly way and closed its stream: HTTP says that the answer is whole, its content does not.
        test_front front;
        front.addEndpoint("tall@3", answerAndClose(streamHead + event("one") + lastChunk));
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "event: error") && !contains(answer, "\r\n0\r\n"));
        CPPUNIT_ASSERT(contains(front.registry.text(), "chervilbend_broken_streams_total 1\n"));
    }

    void answerWithoutLengthIsRefused()
    {
        test_front front;
        front.addEndpoint("service/shop", answerAndClose("HTTP/1.1 200 OK\r\n\r\n{\"stock\":1"));
        const std::string answer = front.ask(test_front::post("/stock", "{}"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 ") && contains(answer, "endpoint-invalid-answer"));
        CPPUNIT_ASSERT(!contains(answer, "\"stock\""));
    }

    void triesAnotherEndpointWhenNothingWasSent()
    {
        test_front front;
        std::uint16_t closedPort = 0;
        {
            const raw_server gone(front.context, {});
            closedPort = gone.port();
        }
        front.addAddress("tall@3", closedPort);
        front.addEndpoint("tall@3", answerAndClose(whole("{\"id\":7,\"usage\":{\"completion_tokens\": 12}}")));
        front.director.retries = 1;
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") && contains(answer, "X-Run-State: ran") && contains(answer, "\"id\":7"));
        CPPUNIT_ASSERT((front.director.outcomes == std::vector{request_outcome::notSent, request_outcome::answered}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), front.director.tokens);

        front.director.next = 0;
        const std::string refused = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "\"run\":\"not run\"") && contains(refused, "retry budget is spent"));
    }

    void repeatsOnlyBeforeFirstByte()
    {
        for (const bool byteSent : {false, true}) {
            test_front front;
            std::string cut = streamHead;
            cut.append(byteSent ? event("one") : "");
            std::string complete = streamHead;
            complete.append(event("two")).append(doneEvent).append(lastChunk);
            raw_server &broken = front.addEndpoint("tall@3", answerAndClose(cut));
            raw_server &sound = front.addEndpoint("tall@3", answerAndClose(complete));
            front.director.retries = 1;
            const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
            CPPUNIT_ASSERT_EQUAL(1, broken.connections);
            CPPUNIT_ASSERT_EQUAL(byteSent ? 0 : 1, sound.connections);
            CPPUNIT_ASSERT_EQUAL(byteSent, contains(answer, "event: error"));
            CPPUNIT_ASSERT(front.director.outcomes.front() == request_outcome::connectionLost);
            CPPUNIT_ASSERT(front.director.open.empty());
        }
    }

    void overloadedEndpointIsNotRun()
    {
        test_front front;
        front.addEndpoint("tall@3", answerAndClose(whole("{}", "503 Service Unavailable")));
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 ") && contains(answer, "Retry-After") && contains(answer, "X-Run-State: not run"));
        CPPUNIT_ASSERT(front.director.outcomes == std::vector{request_outcome::refused});
    }

    /// The engine's 404 was passed on to callers, who took a declared model for an unknown one.
    void restartedEngineIsNotRun()
    {
        test_front front;
        front.addEndpoint("tall@3", answerAndClose(whole("{}", "404 Not Found")));
        const std::string refused = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(refused, refused.starts_with("HTTP/1.1 503 ") && contains(refused, "Retry-After") && contains(refused, "X-Run-State: not run"));
        front.addEndpoint("tall@3", answerAndClose(whole("{\"other\":1}")));
        front.director.retries = 1;
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 "));
    }

    void deadlineEndsTheRequest()
    {
        test_front front;
        front.addEndpoint("tall@3", [](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> { co_await caller->readToEnd(); });
        front.director.retries = 5;
        const std::string answer = front.ask(test_front::post("/v1/chat/completions", chatBody, "X-Deadline-Ms: 400\r\n"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 ") && contains(answer, "\"run\":\"unknown\""));
        CPPUNIT_ASSERT(front.director.outcomes == std::vector{request_outcome::timedOut});
    }

    void leavingCallerCancelsAtTheEngine()
    {
        test_front front;
        int closed = 0;
        front.addEndpoint("tall@3", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}]}");
            co_await caller->send(streamHead + event("one"));
            co_await caller->readToEnd();
            ++closed;
        });
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            for (int i = 0; i < 20; ++i) {
                const auto caller = co_await raw_peer::connect(front.port);
                co_await caller->send(test_front::post("/v1/chat/completions", chatBody));
                // Odd ones leave while the engine is silent after its first event, even ones before they have read anything.
                if (i % 2 == 1) {
                    co_await caller->readUntil("one");
                } else {
                    co_await waitUntil([&] { return !front.director.open.empty(); });
                }
                caller->close();
                co_await waitUntil([&] { return closed == i + 1 && front.director.open.empty() && front.open.size() == 0; });
            }
            co_await waitUntil([&] { return front.server->openConnections() == 0; });
        });
        CPPUNIT_ASSERT(front.director.outcomes == std::vector<request_outcome>(20, request_outcome::cancelled));
    }

    void leavingCallerLeavesTheQueue()
    {
        test_front front;
        raw_server &engine = front.addEndpoint("tall@3", answerAndClose(whole("{}")));
        front.director.hold = true;
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            co_await caller->send(test_front::post("/v1/chat/completions", chatBody));
            co_await waitUntil([&] { return front.gate.waiting() == 1; });
            caller->close();
            co_await waitUntil([&] { return front.gate.waiting() == 0 && front.director.open.empty(); });
        });
        CPPUNIT_ASSERT_EQUAL(0, engine.connections);
    }

    void queuedRequestIsWokenOrRefused()
    {
        test_front front;
        front.addEndpoint("tall@3", answerAndClose(whole("{}")));
        for (const bool refuse : {false, true}) {
            front.director.hold = true;
            // No command reaches the director any more: only its own wake-up can release the request.
            front.director.wakeup = base::clock::now() + base::milliseconds(50);
            std::string answer;
            net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
                const auto caller = co_await raw_peer::connect(front.port);
                co_await caller->send(test_front::post("/v1/chat/completions", chatBody));
                co_await waitUntil([&] { return front.gate.waiting() == 1; });
                if (refuse) {
                    front.director.refusals.push_back({front.director.lastTicket, {base::error_kind::deadlineUnmeetable, "too late"}});
                    front.director.open.clear();
                    front.director.queued.clear();
                }
                front.director.hold = false;
                answer = co_await caller->readToEnd();
            });
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(refuse ? "HTTP/1.1 503 " : "HTTP/1.1 200 "));
            CPPUNIT_ASSERT_EQUAL(refuse, contains(answer, "too late"));
        }
    }

    void slowCallerHoldsTheEngineBack()
    {
        test_front front;
        std::size_t sent = 0;
        front.addEndpoint("tall@3", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            co_await caller->readUntil("}]}");
            bool open = co_await caller->send(streamHead);
            const std::string piece = event(std::string(32 * 1024, 'x'));
            while (open) {
                open = co_await caller->send(piece);
                sent += piece.size();
            }
        });
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            co_await caller->send(test_front::post("/v1/chat/completions", chatBody));
            std::size_t before = 1;
            while (sent != before) {
                before = sent;
                co_await net::sleepFor(base::milliseconds(200));
            }
            caller->close();
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent < 32 * 1024 * 1024);
    }

    void openTasksMayOutliveTheirCollaborators()
    {
        // The process ends with a queued request, an open stream and an order on their way. Use after the end shows under the sanitizer.
        test_front front;
        front.abandoned = true;
        front.addEndpoint("tall@3", answerAndClose(streamHead + event("one")));
        front.addEndpoint("service/shop", [](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> { co_await caller->readToEnd(); });
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            const auto order = co_await raw_peer::connect(front.port);
            co_await order->send(test_front::post("/orders", "{\"order\":\"k\"}"));
            const auto request = co_await raw_peer::connect(front.port);
            co_await request->send(test_front::post("/stock", "{}"));
            co_await waitUntil([&] { return front.director.open.size() == 2; });
            front.director.hold = true;
            const auto queued = co_await raw_peer::connect(front.port);
            co_await queued->send(test_front::post("/v1/chat/completions", chatBody));
            co_await waitUntil([&] { return front.gate.waiting() == 1 && front.open.size() == 4; });
        });
    }

    void longAnswersPassUnchanged()
    {
        test_front front;
        std::string body;
        while (body.size() < 9'000'000) {
            body.append(std::to_string(body.size()));
        }
        front.addEndpoint("service/shop", answerAndClose(whole(body)));
        const std::string answer = front.ask(test_front::post("/stock", "{}"));
        CPPUNIT_ASSERT_MESSAGE("the answer was cut at " + std::to_string(answer.size()), answer.ends_with("\r\n0\r\n\r\n"));
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

    void answersAreNeverMixedUp()
    {
        // 40 callers at once on kept connections; the engine answers late, in random order, and now and then breaks off or hangs up.
        test_front front;
        const unsigned seed = std::random_device{}();
        std::cout << "seed=" << seed << std::endl;
        std::mt19937 random(seed);
        front.director.retries = 1'000;
        front.addEndpoint("service/shop", [&](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
            while (!caller->closed) {
                const std::string request = co_await caller->readUntil("}");
                const std::size_t start = request.rfind('{');
                if (start == std::string::npos) {
                    break;
                }
                co_await net::sleepFor(base::milliseconds(random() % 5));
                std::string answer = whole(request.substr(start) + std::string(random() % 20'000, 'x'));
                const unsigned fate = random() % 10;
                answer.resize(fate == 0 ? answer.size() / 2 : answer.size());
                co_await caller->send(answer);
                if (fate <= 1) {
                    break;
                }
            }
        });
        int finished = 0;
        int right = 0;
        const auto call = [&](int who) -> boost::asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(front.port);
            for (int i = 0; i < 25; ++i) {
                const std::string nonce = "{\"n\":\"" + std::to_string(who) + "-" + std::to_string(i) + "\"}";
                co_await caller->send("POST /stock HTTP/1.1\r\nHost: node\r\nContent-Length: " + std::to_string(nonce.size()) + "\r\n\r\n" + nonce);
                const std::string head = co_await caller->readUntil("\r\n\r\n");
                const std::size_t length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
                std::string body = co_await caller->readUntil(nonce);
                right += head.starts_with("HTTP/1.1 200 ") && body == nonce ? 1 : 0;
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
        net::test::runUntilDone(front.context, [&]() -> boost::asio::awaitable<void> {
            for (int who = 0; who < 40; ++who) {
                boost::asio::co_spawn(front.context, call(who), boost::asio::detached);
            }
            co_await waitUntil([&] { return finished == 40; });
        });
        CPPUNIT_ASSERT_EQUAL(1'000, right);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_api_test);
