#include "raw_peer.hpp"

#include <chervilbend/net/http_client.hpp>

#include <boost/asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;
namespace asio = boost::asio;

namespace
{

/// Longest time that an endpoint may take nothing of a request.
constexpr base::milliseconds pauseLimit{1'000};

/// Sends a request with a body of 24 MiB to an endpoint that reads 512 KiB each 40 ms, and then answers.
struct slow_upload {
    explicit slow_upload(const http_send_options &options)
    {
        asio::io_context context;
        raw_server endpoint(context, [](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            std::vector<char> block(512 * 1024);
            std::size_t read = 0;
            boost::system::error_code error;
            while (read < bodyBytes && !error) {
                const auto [failed, size] = co_await asio::async_read(caller->socket, asio::buffer(block), awaitTuple);
                error = failed;
                read += size;
                co_await sleepFor(base::milliseconds(40));
            }
            co_await caller->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
        http_request request{http::verb::post, "/", 11};
        request.body().assign(bodyBytes, 'x');
        http_client client;
        const address endpointAddress{"127.0.0.1", endpoint.port()};
        runUntilDone(context, [&]() -> asio::awaitable<void> { response = co_await client.send(endpointAddress, std::move(request), options); });
        timedOut = client.hasTimedOut();
    }

    static constexpr std::size_t bodyBytes = std::size_t{24} * 1024 * 1024;
    std::optional<http_response> response;
    bool timedOut;
};

} // namespace

/// Guards against requests that can't be sent because they take longer than a write may last, and against writes without an end.
class request_write_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_write_test);
    CPPUNIT_TEST(longRequestIsWrittenWhileThePeerReads);
    CPPUNIT_TEST(deadlineEndsASlowWrite);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Failure: a request whose transfer took longer than a write may last failed, although its endpoint was reading it all the time.
    void longRequestIsWrittenWhileThePeerReads()
    {
        http_send_options options;
        options.answerTimeout = pauseLimit;
        const slow_upload upload(options);
        CPPUNIT_ASSERT(upload.response);
    }

    void deadlineEndsASlowWrite()
    {
        http_send_options options;
        options.answerTimeout = pauseLimit;
        options.deadline = base::clock::now() + base::milliseconds(300);
        const slow_upload upload(options);
        CPPUNIT_ASSERT(!upload.response && upload.timedOut);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_write_test);
