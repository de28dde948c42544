#include "http_server_fixture.hpp"

#include <boost/asio/this_coro.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <ctime>
#include <iostream>

using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;
namespace asio = boost::asio;

namespace
{

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

/// A short read timeout is only for tests that expect it to expire: a busy machine may pause a test for longer.
http_server_limits shortLimits(int readMilliseconds = 10'000)
{
    http_server_limits limits;
    limits.headerBytes = 2'000;
    limits.bodyBytes = 10'000;
    limits.connections = 3;
    limits.readTimeout = base::milliseconds(readMilliseconds);
    limits.idleTimeout = base::milliseconds(5 * readMilliseconds);
    limits.writeTimeout = base::milliseconds(150);
    return limits;
}

} // namespace

/// Guards against callers that smuggle requests, occupy memory or connections without limit, or leave work running after they disconnect.
class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(refusesEveryAmbiguousLength);
    CPPUNIT_TEST(discardsWhatFollowsAMalformedRequest);
    CPPUNIT_TEST(reportsWhichLimitWasExceeded);
    CPPUNIT_TEST(refusesLineWithoutEndInBody);
    CPPUNIT_TEST(boundsTheMemoryOfAllBodies);
    CPPUNIT_TEST(closesSlowAndIdleCallers);
    CPPUNIT_TEST(answersPipelinedRequestsInOrder);
    CPPUNIT_TEST(cancelsHandlerWhenCallerLeaves);
    CPPUNIT_TEST(detectsDisconnectBehindPipelinedRequest);
    CPPUNIT_TEST(appliesBackPressureForSlowReader);
    CPPUNIT_TEST(keepsStreamOpenWhileSourceIsSilent);
    CPPUNIT_TEST(sendsContinueOnlyForAcceptedBodies);
    CPPUNIT_TEST(failedHandlerAnswers);
    CPPUNIT_TEST(truncatedStreamNeverLooksComplete);
    CPPUNIT_TEST(refusesConnectionsBeyondLimit);
    CPPUNIT_TEST(parsesRequestsHoweverTheyAreSplit);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesEveryAmbiguousLength()
    {
        for (const char *fields : {"Content-Length: 5\r\nTransfer-Encoding: chunked",
                                   "Transfer-Encoding: chunked\r\nContent-Length: 5",
                                   "Content-Length: 5\r\nContent-Length: 6",
                                   "Content-Length: 5\r\nContent-Length: 5",
                                   "Content-Length: 5, 5",
                                   "Content-Length: +5",
                                   "Content-Length: -1",
                                   "Content-Length: 0x5",
                                   "Content-Length: 99999999999999999999",
                                   "Content-Length : 5",
                                   "Content-Length: 5\r\n folded: 1",
                                   "Transfer-Encoding: identity",
                                   "Transfer-Encoding: xchunked",
                                   "Transfer-Encoding: chunked, identity",
                                   "Transfer-Encoding: gzip, chunked",
                                   "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                                   "Transfer-Encoding : chunked",
                                   "Transfer-Encoding: identity\r\nContent-Length: 5",
                                   "Transfer-Encoding: \013chunked"}) {
            server_fixture fixture;
            const std::string answer =
                fixture.sendAndReadAll("POST /echo HTTP/1.1\r\nHost: a\r\n" + std::string(fields) + "\r\n\r\n0\r\n\r\nGET /stolen HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(std::string(fields) + " was answered: " + answer, answer.starts_with("HTTP/1.1 400 "));
            CPPUNIT_ASSERT_MESSAGE(fields, answer.find("\"run\":\"not run\"") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(fields, fixture.handler.targets.empty());
        }
    }

    void discardsWhatFollowsAMalformedRequest()
    {
        for (const char *text : {"POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
                                 "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
                                 "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nabcd\r\n0\r\n\r\n",
                                 "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
                                 "GET /echo HTTP/1.1\r\n\r\n",
                                 "GET /echo HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                                 "GET /echo HTTP/2.0\r\nHost: a\r\n\r\n",
                                 "GET /echo HTTP/1.1\nHost: a\n\n",
                                 "POST /echo HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                                 "\x16\x03\x01\x02\x00 not http\r\n\r\n"}) {
            server_fixture fixture;
            const std::string answer = fixture.sendAndReadAll(text + std::string("GET /stolen HTTP/1.1\r\nHost: a\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(std::string(text) + " was answered: " + answer, answer.starts_with("HTTP/1.1 400 "));
            CPPUNIT_ASSERT_MESSAGE(text, fixture.handler.targets.empty());
        }
    }

    /// Guards against a caller that fills the memory with a line before a chunk that never ends.
    void refusesLineWithoutEndInBody()
    {
        constexpr std::size_t blockBytes = 64 * 1024;
        constexpr std::size_t maxTakenBytes = 16 * 1024 * 1024;
        server_fixture fixture(shortLimits(1'000));
        std::size_t sent = 0;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            bool isOpen = co_await caller->send("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (isOpen && sent <= maxTakenBytes) {
                isOpen = co_await caller->send(std::string(blockBytes, '0'));
                sent += blockBytes;
            }
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " bytes sent", sent <= maxTakenBytes);
    }

    /// Guards against callers that fill the memory together, each with a body that is within its own limit.
    void boundsTheMemoryOfAllBodies()
    {
        constexpr int callers = 20;
        // Half of a body.
        constexpr std::size_t partBytes = 100'000;
        http_server_limits limits;
        limits.allRequestsBytes = 5 * partBytes;
        server_fixture fixture(limits);
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            std::vector<std::shared_ptr<raw_peer>> peers;
            for (int i = 0; i < callers; ++i) {
                peers.push_back(co_await raw_peer::connect(fixture.port));
                co_await peers.back()->send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(2 * partBytes) + "\r\n\r\n"
                                            + std::string(partBytes, 'x'));
            }
            // A short body is still accepted.
            const auto other = co_await raw_peer::connect(fixture.port);
            co_await other->send("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nshort");
            const std::string shortAnswer = co_await other->readToEnd();
            CPPUNIT_ASSERT(shortAnswer.ends_with("short!"));
            CPPUNIT_ASSERT(fixture.server->requestBytes() <= limits.allRequestsBytes);
            int refused = 0;
            for (const std::shared_ptr<raw_peer> &each : peers) {
                co_await each->send(std::string(partBytes, 'x'));
                const std::string answer = co_await each->readUntil("\r\n");
                CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 ") || answer.starts_with("HTTP/1.1 503 "));
                refused += answer.starts_with("HTTP/1.1 503 ") ? 1 : 0;
                each->close();
            }
            CPPUNIT_ASSERT(refused > 0);
            co_await waitUntil([&] { return fixture.server->requestBytes() == 0; });
        });
    }

    void reportsWhichLimitWasExceeded()
    {
        server_fixture fixture(shortLimits());
        const std::string longHeader = fixture.sendAndReadAll("GET /echo HTTP/1.1\r\nHost: a\r\nX: " + std::string(3'000, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(longHeader, longHeader.starts_with("HTTP/1.1 431 "));
        // The refusal must arrive although most of the body was not read.
        const std::string longBody = fixture.sendAndReadAll("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + std::string(200'000, 'x'));
        CPPUNIT_ASSERT_MESSAGE(longBody, longBody.starts_with("HTTP/1.1 413 "));
        const std::string longChunks =
            fixture.sendAndReadAll("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" + std::string(0x4000, 'x'));
        CPPUNIT_ASSERT_MESSAGE(longChunks, longChunks.starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(fixture.handler.targets.empty());
    }

    void closesSlowAndIdleCallers()
    {
        server_fixture fixture(shortLimits(80));
        CPPUNIT_ASSERT(fixture.sendAndReadAll("GET /echo HT").starts_with("HTTP/1.1 408 "));
        CPPUNIT_ASSERT(fixture.sendAndReadAll("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab").starts_with("HTTP/1.1 408 "));
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.sendAndReadAll(""));
        CPPUNIT_ASSERT(fixture.handler.targets.empty());
        // Single bytes must not extend the time for the header.
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            bool open = true;
            int sent = 0;
            for (; open && sent < 400; ++sent) {
                open = co_await caller->send(sent == 0 ? "GET /" : "x");
                co_await sleepFor(base::milliseconds(10));
                open = open && fixture.server->openConnections() > 0 && !isRefused(*caller);
            }
            CPPUNIT_ASSERT_MESSAGE("a header that arrives byte by byte was never refused", sent < 400);
        });
    }

    void answersPipelinedRequestsInOrder()
    {
        server_fixture fixture;
        const std::string answer = fixture.sendAndReadAll("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
                                                          "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
                                                          "POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree");
        const std::size_t one = answer.find("one!");
        const std::size_t two = answer.find("two!");
        const std::size_t three = answer.find("three!");
        CPPUNIT_ASSERT(one < two && two < three && three != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), count(answer, "HTTP/1.1 200 OK"));
    }

    void cancelsHandlerWhenCallerLeaves()
    {
        server_fixture fixture;
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            for (int i = 0; i < 20; ++i) {
                const auto caller = co_await raw_peer::connect(fixture.port);
                co_await caller->send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
                co_await waitUntil([&] { return fixture.handler.targets.size() == static_cast<std::size_t>(i) + 1; });
                // A caller that only shuts down its sending side counts as disconnected: it cannot be distinguished from one that closed.
                if (i % 2 == 0) {
                    caller->close();
                } else {
                    caller->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
                }
                co_await waitUntil([&] { return fixture.handler.cancelled == i + 1; });
            }
            co_await waitUntil([&] { return fixture.server->openConnections() == 0; });
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.server->openRequests());
    }

    void detectsDisconnectBehindPipelinedRequest()
    {
        server_fixture fixture;
        const std::clock_t before = std::clock();
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("GET /hang HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await waitUntil([&] { return fixture.handler.targets.size() == 1; });
            co_await caller->send("GET /echo HTTP/1.1\r\nHost: a\r\n\r\n");
            co_await sleepFor(base::milliseconds(600));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("a pipelined request is not a disconnect", 0, fixture.handler.cancelled);
            caller->close();
            co_await waitUntil([&] { return fixture.handler.cancelled == 1; });
        });
        const double seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        CPPUNIT_ASSERT_MESSAGE("waiting behind a pipelined request uses too much processor time", seconds < 0.4);
    }

    void appliesBackPressureForSlowReader()
    {
        server_fixture fixture(shortLimits());
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("GET /flood HTTP/1.1\r\nHost: a\r\n\r\n");
            // The caller never reads: back pressure stops the source, and the write timeout ends the connection.
            co_await waitUntil([&] { return fixture.handler.streamedBytes > 0 && fixture.server->openConnections() == 0; });
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fixture.handler.streamedBytes), fixture.handler.streamedBytes < 32 * 1024 * 1024);
    }

    void keepsStreamOpenWhileSourceIsSilent()
    {
        // The write timeout must not run between two chunks.
        struct silent_source : http_handler {
            asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange) override
            {
                co_await exchange->startStream(http::response<http::empty_body>());
                co_await exchange->writeChunk("a");
                co_await sleepFor(base::milliseconds(400));
                co_await exchange->writeChunk("b");
                co_await exchange->finishStream();
            }
        } handler;
        server_fixture fixture(shortLimits());
        const auto server = std::make_shared<http_server>(fixture.context.get_executor(), handler, shortLimits());
        fixture.port = server->listen({"127.0.0.1", 0}).value();
        const std::string answer = fixture.sendAndReadAll("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("1\r\nb\r\n0\r\n\r\n"));
        server->closeAll();
    }

    void sendsContinueOnlyForAcceptedBodies()
    {
        server_fixture fixture(shortLimits());
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n");
            const std::string proceed = co_await caller->readUntil("\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(proceed, proceed.starts_with("HTTP/1.1 100 "));
            co_await caller->send("ok");
            const std::string answer = co_await caller->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("ok!"));
        });
        const std::string refused = fixture.sendAndReadAll("POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 99999\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(refused, refused.starts_with("HTTP/1.1 413 "));
    }

    void failedHandlerAnswers()
    {
        server_fixture fixture;
        const std::string answer = fixture.sendAndReadAll("GET /throw HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 500 "));
    }

    void truncatedStreamNeverLooksComplete()
    {
        server_fixture fixture;
        const std::string truncated = fixture.sendAndReadAll("GET /cut HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(truncated, truncated.ends_with("4\r\npart\r\n"));
        // HTTP/1.0 has no last chunk: only a reset tells a truncated answer from a complete one.
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("GET /cut HTTP/1.0\r\n\r\n");
            co_await caller->readToEnd();
            CPPUNIT_ASSERT_EQUAL(boost::system::error_code(asio::error::connection_reset), caller->closeError);
        });
    }

    void refusesConnectionsBeyondLimit()
    {
        server_fixture fixture(shortLimits());
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            std::vector<std::shared_ptr<raw_peer>> accepted;
            accepted.reserve(3);
            for (int i = 0; i < 3; ++i) {
                accepted.push_back(co_await raw_peer::connect(fixture.port));
            }
            const auto beyond = co_await raw_peer::connect(fixture.port);
            const std::string answer = co_await beyond->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
        });
    }

    void parsesRequestsHoweverTheyAreSplit()
    {
        const bool passed = rc::check("a request is parsed alike however its bytes are split", [] {
            const std::string body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
            const auto cuts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40));
            server_fixture fixture;
            const std::string text =
                "POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            std::string answer;
            runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
                const auto caller = co_await raw_peer::connect(fixture.port);
                std::size_t at = 0;
                for (std::size_t i = 0; at < text.size(); ++i) {
                    const std::size_t size = i < cuts.size() ? static_cast<std::size_t>(cuts[i]) : text.size();
                    co_await caller->send(text.substr(at, size));
                    at += size;
                }
                answer = co_await caller->readToEnd();
            });
            RC_ASSERT(answer.ends_with("\r\n\r\n" + body + "!"));
        });
        CPPUNIT_ASSERT(passed);
    }

private:
    /// Whether an answer has arrived at the caller without reading it.
    static bool isRefused(raw_peer &caller)
    {
        boost::system::error_code error;
        return caller.socket.available(error) > 0 || error;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);
