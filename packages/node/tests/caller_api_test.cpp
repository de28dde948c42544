#include "test_front.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node::test;
using routing::request_outcome;

namespace
{

const std::string chatBody = R"({"model":"tall","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"hello there"}]})";
const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return std::string(size).append(text).append("\r\n");
}

std::string event(const std::string &text)
{
    std::string data = "data: {\"choices\":[{\"delta\":{\"content\":\"";
    data.append(text).append("\"}}]}\n\n");
    return chunk(data);
}

const std::string doneEvent = chunk("data: [DONE]\n\n");

std::string whole(const std::string &body, const std::string &status = "200 OK")
{
    std::string answer("HTTP/1.1 ");
    answer.append(status).append("\r\nContent-Type: application/json\r\nContent-Length: ").append(std::to_string(body.size()));
    return answer.append("\r\n\r\n").append(body);
}

/// Answers each request with @p text and then closes.
raw_server::script answerAndClose(const std::string &text)
{
    return [text](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
        co_await caller->readUntil("}");
        co_await caller->send(text);
    };
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

/// Guards against answers that are cut, mixed up, repeated after a byte was sent, or that lie about whether the work ran.
class caller_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_api_test);
    CPPUNIT_TEST(passesStreamOnPieceByPiece);
    CPPUNIT_TEST(brokenStreamEndsWithErrorEvent);
    CPPUNIT_TEST(brokenWholeAnswerBecomesProblem);
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
            co_await until([&] { return firstSeen; });
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_api_test);
