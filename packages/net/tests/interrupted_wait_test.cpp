#include "raw_peer.hpp"

#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <thread>

using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;
namespace asio = boost::asio;

/// Guards against answers that a process gives up although only the process itself was late.
class interrupted_wait_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(interrupted_wait_test);
    CPPUNIT_TEST(dataThatCameWhileTheProcessWasHeldUpIsRead);
    CPPUNIT_TEST(silenceIsGivenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a busy process that gives up an answer whose data has come while it was held up.
    void dataThatCameWhileTheProcessWasHeldUpIsRead()
    {
        CPPUNIT_ASSERT(isAnswered(base::milliseconds(60)));
    }

    /// Guards against a wait that goes on without data though keepWaiting() ends it.
    void silenceIsGivenUp()
    {
        CPPUNIT_ASSERT(!isAnswered(base::milliseconds(5'000)));
    }

private:
    /// Whether an answer that comes after @p delay is read where waits end after 400 ms, and the process is held up from 50 to 550 ms.
    static bool isAnswered(base::milliseconds delay)
    {
        asio::io_context context;
        raw_server endpoint(context, [delay](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("\r\n\r\n");
            co_await sleepFor(delay);
            co_await caller->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
        http_client client;
        const address endpointAddress{"127.0.0.1", endpoint.port()};
        http_send_options options;
        options.answerTimeout = base::milliseconds(400);
        options.keepWaiting = [] {
            return false;
        };
        options.deadline = base::clock::now() + base::milliseconds(10'000);
        timer holdUp(context.get_executor(), base::clock::now() + base::milliseconds(50));
        holdUp.async_wait([](boost::system::error_code) { std::this_thread::sleep_for(std::chrono::milliseconds(500)); });
        bool hasAnswer = false;
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            const http_request request(http::verb::get, "/", 11);
            const auto response = co_await client.send(endpointAddress, request, options);
            hasAnswer = response.has_value();
        });
        return hasAnswer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(interrupted_wait_test);
