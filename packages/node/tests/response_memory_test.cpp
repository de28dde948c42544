#include "route_api_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::node::test;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t limitBytes = 1024 * 1024;
/// Below the limits for one event and one response.
constexpr std::size_t partBytes = 150 * 1024;
constexpr int faultyResponses = 30;

std::string request(const std::string &path)
{
    return "POST " + path
        + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nChervilbend-Attempt-Id: own1\r\n"
          "Chervilbend-Deadline-Milliseconds: 2500\r\nContent-Length: 2\r\n\r\n{}";
}

/// An endpoint that answers with a part of a response and then nothing more, and only the last request with a sound stream.
struct unfinished_responses {
    explicit unfinished_responses(const std::string &start)
    {
        fixture.configure();
        fixture.director.retriesLeft = 0;
        fixture.requestForwarder.setResponseLimit(base::byte_count(limitBytes));
        fixture.addEndpoint([this, start](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            if (++begun > faultyResponses) {
                co_await caller->send(sealedStream + numberedEvent(1) + lastChunk);
                co_return;
            }
            co_await caller->send(start + chunk("data: " + std::string(partBytes, 'x')));
            ++sent;
            co_await caller->readToEnd();
        });
    }

    /// Opens the faulty responses, then asks for a sound stream.
    void run(const std::string &path)
    {
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            for (int i = 0; i < faultyResponses; ++i) {
                callers.push_back(co_await raw_peer::connect(fixture.port));
                co_await callers.back()->send(request(path));
                co_await net::test::waitUntil([&] { return sent == i + 1; });
                mostKept = std::max(mostKept, fixture.requestForwarder.keptBytes());
            }
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send(request("/chat/x"));
            soundAnswer = co_await caller->readToEnd();
            mostKept = std::max(mostKept, fixture.requestForwarder.keptBytes());
            for (const std::shared_ptr<raw_peer> &each : callers) {
                each->close();
            }
            co_await net::test::waitUntil([&] { return fixture.requestForwarder.keptBytes() == 0; });
        });
    }

    route_api_fixture fixture;
    std::vector<std::shared_ptr<raw_peer>> callers;
    int begun = 0;
    int sent = 0;
    std::size_t mostKept = 0;
    std::string soundAnswer;
};

} // namespace

/// Guards against endpoints that fill a node's memory with many responses at once, each of which is within the limits for one.
class response_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_memory_test);
    CPPUNIT_TEST(eventsWithoutEndShareOneLimit);
    CPPUNIT_TEST(responsesThatAreKeptShareOneLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void eventsWithoutEndShareOneLimit()
    {
        unfinished_responses streams(sealedStream);
        streams.run("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(streams.mostKept), streams.mostKept > partBytes && streams.mostKept <= limitBytes);
        CPPUNIT_ASSERT_MESSAGE(streams.soundAnswer, streams.soundAnswer.ends_with(lastChunk) && contains(streams.soundAnswer, "word1"));
    }

    /// Beyond the limit, a response is forwarded as it comes.
    void responsesThatAreKeptShareOneLimit()
    {
        unfinished_responses responses(
            "HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: own1\r\nChervilbend-Response-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n");
        responses.run("/status/x");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(responses.mostKept), responses.mostKept > partBytes && responses.mostKept <= limitBytes);
        CPPUNIT_ASSERT_MESSAGE(responses.soundAnswer, responses.soundAnswer.ends_with(lastChunk) && contains(responses.soundAnswer, "word1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_memory_test);
