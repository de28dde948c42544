#include "http_server_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace asio = boost::asio;
using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;

namespace
{

constexpr std::size_t limitOfAllBytes = 200'000;

http_server_limits memoryLimits()
{
    http_server_limits limits;
    limits.allRequestsBytes = limitOfAllBytes;
    return limits;
}

} // namespace

/// Guards against callers that fill the memory together with unfinished requests, and against proper forms of a request that are refused.
class request_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_reader_test);
    CPPUNIT_TEST(boundsTheMemoryOfUnfinishedHeaders);
    CPPUNIT_TEST(boundsTheMemoryOfUnfinishedLinesInBodies);
    CPPUNIT_TEST(boundsTheMemoryOfLongHeadersOfOpenRequests);
    CPPUNIT_TEST(boundsTheMemoryOfManyShortFields);
    CPPUNIT_TEST(ignoresEmptyLinesBeforeARequest);
    CPPUNIT_TEST(acceptsTargetsInAbsoluteForm);
    CPPUNIT_TEST(trailerFieldsAreNoHeaderFields);
    CPPUNIT_TEST_SUITE_END();

public:
    void boundsTheMemoryOfUnfinishedHeaders()
    {
        refusesSomeOf("GET /echo HTTP/1.1\r\nHost: a\r\nX: " + std::string(15'000, 'x'));
    }

    void boundsTheMemoryOfUnfinishedLinesInBodies()
    {
        refusesSomeOf("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(60'000, 'x'));
    }

    void boundsTheMemoryOfLongHeadersOfOpenRequests()
    {
        refusesSomeOf("GET /hang HTTP/1.1\r\nHost: a\r\nX: " + std::string(15'000, 'x') + "\r\n\r\n");
    }

    /// A field of four bytes takes some twenty times as much memory.
    void boundsTheMemoryOfManyShortFields()
    {
        std::string beginning = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n";
        while (beginning.size() < 3'900) {
            beginning += "a:\r\n";
        }
        refusesSomeOf(beginning + "\r\n");
    }

    void ignoresEmptyLinesBeforeARequest()
    {
        server_fixture fixture;
        const std::string request = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
        const std::string answers =
            fixture.sendAndReadAll("\r\n" + request + "\r\n\r\nPOST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answers, answers.starts_with("HTTP/1.1 200 ") && answers.find("one!HTTP/1.1 200 ") != std::string::npos);
        // The empty line may come in pieces, and without a request behind it it asks for nothing.
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("\r");
            co_await sleepFor(base::milliseconds(20));
            co_await caller->send("\n" + request);
            const std::string answer = co_await caller->readUntil("one!");
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 "));
        });
    }

    void acceptsTargetsInAbsoluteForm()
    {
        server_fixture fixture;
        const std::string rest = " HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n";
        for (const std::string target :
             {"http://a.example:80/echo?q=http://b", "HTTP://a.example", "https://a.example?q", "/echo?q=http://b", "http:///echo"}) {
            std::string request = "GET ";
            request.append(target).append(rest);
            fixture.sendAndReadAll(request);
        }
        const std::vector<std::string> expected{"/echo?q=http://b", "/", "/?q", "/echo?q=http://b", "http:///echo"};
        CPPUNIT_ASSERT(expected == fixture.handler.targets);
        const std::vector<std::string> hosts{"a.example:80", "a.example", "a.example", "other", "other"};
        CPPUNIT_ASSERT(hosts == fixture.handler.hosts);
    }

    /// Guards against a caller whose trailer is taken for its header: it would choose the host, the attempt or the account behind the checks of a proxy before
    /// the node, and servers would get it as part of the header.
    void trailerFieldsAreNoHeaderFields()
    {
        server_fixture fixture;
        const std::string head = "POST /echo HTTP/1.1\r\nHost: a\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n";
        const std::string body = "\r\n3\r\none\r\n0\r\n";
        const std::string last = "POST /echo HTTP/1.1\r\nHost: a\r\nX-Own: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo";
        const std::string answers =
            fixture.sendAndReadAll(head + body + "x-own: 2\r\nHost: b\r\nX-Other: 3\r\nConnection: close\r\n\r\n" + head + body + "\r\n" + last);
        CPPUNIT_ASSERT_MESSAGE(answers, answers.find("one!HTTP/1.1 200 ") != std::string::npos && answers.ends_with("two!"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.handler.headers.size());
        for (const http::fields &header : fixture.handler.headers) {
            CPPUNIT_ASSERT(header.count("X-Own") == 1 && header["X-Own"] == "1");
            CPPUNIT_ASSERT(header.count(http::field::host) == 1 && header[http::field::host] == "a");
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), header.count("X-Other"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.handler.headers.at(0).count(http::field::connection));
    }

private:
    /// Sends @p beginning on more connections than the memory allows. Some must be refused, and a short request must still be answered.
    static void refusesSomeOf(const std::string &beginning)
    {
        constexpr int callers = 60;
        server_fixture fixture(memoryLimits());
        runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            std::vector<std::shared_ptr<raw_peer>> peers;
            for (int i = 0; i < callers; ++i) {
                peers.push_back(co_await raw_peer::connect(fixture.port));
                co_await peers.back()->send(beginning);
            }
            const auto other = co_await raw_peer::connect(fixture.port);
            co_await other->send("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nshort");
            const std::string shortAnswer = co_await other->readToEnd();
            CPPUNIT_ASSERT_MESSAGE(shortAnswer, shortAnswer.ends_with("short!"));
            CPPUNIT_ASSERT(fixture.server->requestBytes() > 0 && fixture.server->requestBytes() <= limitOfAllBytes);
            const std::string refusal = co_await peers.back()->readUntil("\r\n");
            CPPUNIT_ASSERT_MESSAGE(refusal, refusal.starts_with("HTTP/1.1 503 "));
            for (const std::shared_ptr<raw_peer> &each : peers) {
                each->close();
            }
            co_await waitUntil([&] { return fixture.server->requestBytes() == 0; });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_reader_test);
