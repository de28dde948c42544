#include "answer_statuses.hpp"
#include "raw_peer.hpp"

#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/http_client_stream.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::net;
using namespace chervilbend::net::test;
namespace asio = boost::asio;

namespace
{

/// Size of the parts in which endpoints send without end.
constexpr int blockBytes = 4'096;
/// Bytes that an endpoint may get rid of: those that the node holds, and those in the buffers of both kernels.
constexpr std::size_t maxTakenBytes = 8 * 1024 * 1024;

const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

http_request get()
{
    return {http::verb::get, "/", 11};
}

/// Used instead of an aggregate inside a co_await expression, which g++ 12 destroys twice.
address loopback(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

http_send_options withAnswerTimeout(int milliseconds)
{
    http_send_options options;
    options.answerTimeout = base::milliseconds(milliseconds);
    return options;
}

/// Sends one request to an endpoint that answers with @p sent and then closes the connection if @p closes is set.
struct single_exchange {
    explicit single_exchange(const std::string &sent, bool closes = true, http_request request = get())
    {
        asio::io_context context;
        raw_server endpoint(context, [sent, closes](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("\r\n\r\n");
            co_await caller->send(sent);
            if (!closes) {
                co_await caller->readToEnd();
            }
        });
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context,
                     [&]() -> asio::awaitable<void> { response = co_await client.send(endpointAddress, request, withAnswerTimeout(closes ? 10'000 : 200)); });
        kind = client.lastReason().kind;
        text = client.lastReason().text;
        timedOut = client.hasTimedOut();
    }

    std::optional<http_response> response;
    base::error_kind kind;
    std::string text;
    bool timedOut;
};

} // namespace

/// Guards against accepting answers that are truncated, malformed or meant for another request, and against reporting wrongly whether a request was sent.
class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(acceptsOnlyCompleteAnswers);
    CPPUNIT_TEST(refusesMalformedAnswers);
    CPPUNIT_TEST(skipsInterimAnswers);
    CPPUNIT_TEST(interimAnswersAreBounded);
    CPPUNIT_TEST(statusOutsideTheProtocolIsNoAnswer);
    CPPUNIT_TEST(connectionIsNotKeptAfterAStatusOutsideTheProtocol);
    CPPUNIT_TEST(unnamedStatusKeepsItsNumberAndReason);
    CPPUNIT_TEST(reportsUnsentRequests);
    CPPUNIT_TEST(doesNotUseStaleConnections);
    CPPUNIT_TEST(freshConnectionIsNotPooled);
    CPPUNIT_TEST(freshConnectionIsNotKept);
    CPPUNIT_TEST(copyOfARefusalIsNotTheNextAnswer);
    CPPUNIT_TEST(answerThatIsNotReadClosesItsConnection);
    CPPUNIT_TEST(abandonedStreamClosesItsConnection);
    CPPUNIT_TEST(deadlineEndsSlowStream);
    CPPUNIT_TEST(bodyOfKnownLengthArrivesInFewReads);
    CPPUNIT_TEST(linesWithoutEndAreRefused);
    CPPUNIT_TEST(bodyWithoutEndIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static asio::awaitable<void> answerEachRequest(std::shared_ptr<raw_peer> caller)
    {
        while (!caller->closed) {
            co_await caller->readUntil("\r\n\r\n");
            co_await caller->send(ok);
        }
    }

    /// Sends blocks until the other side closes; adds up their sizes.
    static asio::awaitable<void> sendWithoutEnd(std::shared_ptr<raw_peer> caller, std::string start, std::string block, std::size_t &sent)
    {
        bool isOpen = co_await caller->send(start);
        while (isOpen) {
            isOpen = co_await caller->send(block);
            sent += block.size();
        }
    }

public:
    void acceptsOnlyCompleteAnswers()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), single_exchange(ok).response.value().body());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                             single_exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n").response.value().body());
        for (const char *text : {"",
                                 "HTTP/1.1 200",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
            const single_exchange truncated(text);
            CPPUNIT_ASSERT_MESSAGE(text, !truncated.response && truncated.kind == base::error_kind::endpointFailed && !truncated.timedOut);
        }
        const single_exchange silent("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false);
        CPPUNIT_ASSERT(!silent.response && silent.timedOut);
    }

    void refusesMalformedAnswers()
    {
        for (const std::string &text : {std::string("SSH-2.0-OpenSSH\r\n\r\n"),
                                        std::string("HTTP/1.1 2x0 OK\r\n\r\n"),
                                        std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n"),
                                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk"),
                                        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok"),
                                        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"),
                                        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n"),
                                        std::string("HTTP/1.1 200 OK\r\nX: ") + std::string(40'000, 'x') + "\r\n\r\n",
                                        // The end of this answer is the end of the connection, which a crash causes, too.
                                        std::string("HTTP/1.1 200 OK\r\n\r\nok")}) {
            const single_exchange malformed(text);
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 80), !malformed.response && malformed.kind == base::error_kind::endpointInvalidAnswer);
        }
    }

    void skipsInterimAnswers()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                             single_exchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok).response.value().body());
        const single_exchange head("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n", true, {http::verb::head, "/", 11});
        CPPUNIT_ASSERT(head.response && head.response->body().empty());
    }

    /// Guards against a peer that keeps the event loop busy until the deadline.
    void interimAnswersAreBounded()
    {
        std::string interim;
        for (int i = 0; i < 20; ++i) {
            interim += "HTTP/1.1 199 Wait\r\n\r\n";
        }
        const single_exchange endless(interim + ok);
        CPPUNIT_ASSERT(!endless.response && endless.kind == base::error_kind::endpointInvalidAnswer);
    }

    /// Guards against believing the answer that follows one with such a status, and against passing the status on.
    void statusOutsideTheProtocolIsNoAnswer()
    {
        for (const std::string &status : statusesOutsideTheProtocol) {
            const single_exchange outside(emptyAnswer(status) + ok);
            CPPUNIT_ASSERT_MESSAGE(status, !outside.response && outside.kind == base::error_kind::endpointInvalidAnswer && !outside.timedOut);
            CPPUNIT_ASSERT_MESSAGE(outside.text, outside.text.find("status " + status) != std::string::npos);
        }
        for (const std::string &status : malformedStatuses) {
            const single_exchange malformed(emptyAnswer(status) + ok);
            CPPUNIT_ASSERT_MESSAGE(status, !malformed.response && malformed.kind == base::error_kind::endpointInvalidAnswer && !malformed.timedOut);
        }
    }

    /// Guards against taking what the endpoint writes after such an answer for the answer to the next request.
    void connectionIsNotKeptAfterAStatusOutsideTheProtocol()
    {
        for (const std::string &status : statusesOutsideTheProtocol) {
            asio::io_context context;
            raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                const std::string answer = endpoint.connections == 1 ? emptyAnswer(status) : ok;
                while (!(co_await caller->readUntil("\r\n\r\n")).empty()) {
                    co_await caller->send(answer);
                }
            });
            http_client client;
            const address endpointAddress = loopback(endpoint.port());
            std::optional<http_response> outside;
            std::optional<http_response> next;
            runUntilDone(context, [&]() -> asio::awaitable<void> {
                outside = co_await client.send(endpointAddress, get(), withAnswerTimeout(200));
                next = co_await client.send(endpointAddress, get(), withAnswerTimeout(2'000));
            });
            CPPUNIT_ASSERT_MESSAGE(status, !outside && next);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 2, endpoint.connections);
        }
    }

    void unnamedStatusKeepsItsNumberAndReason()
    {
        for (const unsigned status : {250U, 299U, 399U, 499U, 520U, 599U}) {
            const single_exchange unnamed("HTTP/1.1 " + std::to_string(status) + " Own Reason\r\nContent-Length: 2\r\n\r\nok");
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), unnamed.response && unnamed.response->result_int() == status);
            CPPUNIT_ASSERT_EQUAL(std::string("Own Reason"), std::string(unnamed.response->reason()));
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), unnamed.response->body());
        }
    }

    void reportsUnsentRequests()
    {
        asio::io_context context;
        const closed_port closedPort(context);
        http_client client;
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            const address closed = loopback(closedPort.number());
            const auto refused = co_await client.send(closed, get(), withAnswerTimeout(100));
            CPPUNIT_ASSERT(!refused && client.lastReason().kind == base::error_kind::endpointRefused);
            const address name = {"localhost", 80};
            const auto hostName = co_await client.send(name, get(), withAnswerTimeout(100));
            CPPUNIT_ASSERT(!hostName && client.lastReason().kind == base::error_kind::endpointRefused);
        });
    }

    void doesNotUseStaleConnections()
    {
        // The endpoint answers once per connection; the first connections then close, the others send unsolicited data.
        for (const bool closes : {true, false}) {
            asio::io_context context;
            int servedConnections = 0;
            raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                co_await caller->readUntil("\r\n\r\n");
                co_await caller->send(ok);
                if (closes) {
                    caller->close();
                } else {
                    co_await caller->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nothers");
                }
                ++servedConnections;
                if (!closes) {
                    co_await caller->readToEnd();
                }
            });
            http_client client;
            const address endpointAddress = loopback(endpoint.port());
            runUntilDone(context, [&]() -> asio::awaitable<void> {
                for (int i = 0; i < 5; ++i) {
                    const auto response = co_await client.send(endpointAddress, get(), withAnswerTimeout(2'000));
                    CPPUNIT_ASSERT(response && response->body() == "ok");
                    co_await waitUntil([&] { return servedConnections == i + 1; });
                }
            });
            CPPUNIT_ASSERT_EQUAL(5, endpoint.connections);
        }
    }

    void freshConnectionIsNotPooled()
    {
        asio::io_context context;
        raw_server endpoint(context, answerEachRequest);
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            http_send_options options = withAnswerTimeout(2'000);
            for (int i = 0; i < 6; ++i) {
                options.freshConnection = i >= 3;
                const auto response = co_await client.send(endpointAddress, get(), options);
                CPPUNIT_ASSERT(response.has_value());
            }
        });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one pooled connection and three new ones", 4, endpoint.connections);
    }

    /// A copy of the answer would be taken for the answer to the next request.
    void freshConnectionIsNotKept()
    {
        asio::io_context context;
        raw_server endpoint(context, answerEachRequest);
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            http_send_options options = withAnswerTimeout(2'000);
            options.freshConnection = true;
            CPPUNIT_ASSERT(co_await client.send(endpointAddress, get(), options));
            CPPUNIT_ASSERT(co_await client.send(endpointAddress, get(), withAnswerTimeout(2'000)));
        });
        CPPUNIT_ASSERT_EQUAL(2, endpoint.connections);
    }

    /// An endpoint writes a refusal once more when the next request has come, before its answer, in two parts or between its header and body.
    void copyOfARefusalIsNotTheNextAnswer()
    {
        const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        for (const int status : {400, 408, 409, 412, 421, 429, 503}) {
            const std::string refusal = "HTTP/1.1 " + std::to_string(status) + " No\r\nContent-Length: 2\r\n\r\nno";
            const std::vector<std::vector<std::string>> placements{
                {refusal, header, "ok"}, {refusal.substr(0, 20), refusal.substr(20), header, "ok"}, {header, refusal, "ok"}};
            for (const std::vector<std::string> &parts : placements) {
                asio::io_context context;
                bool hasRefused = false;
                raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                    bool owesCopy = false;
                    while (!(co_await caller->readUntil("\r\n\r\n")).empty()) {
                        if (!std::exchange(hasRefused, true)) {
                            owesCopy = true;
                            co_await caller->send(refusal);
                            continue;
                        }
                        for (const std::string &part : owesCopy ? parts : std::vector{header, std::string("ok")}) {
                            co_await caller->send(part);
                            co_await sleepFor(base::milliseconds(2));
                        }
                    }
                });
                http_client client;
                const address endpointAddress = loopback(endpoint.port());
                runUntilDone(context, [&]() -> asio::awaitable<void> {
                    const auto refused = co_await client.send(endpointAddress, get(), withAnswerTimeout(2'000));
                    CPPUNIT_ASSERT(refused && refused->result_int() == static_cast<unsigned>(status));
                    const auto next = co_await client.send(endpointAddress, get(), withAnswerTimeout(2'000));
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(status), next && next->result_int() == 200 && next->body() == "ok");
                });
            }
        }
    }

    /// Guards against reusing the connection of a refusal when the request is cancelled between the arrival of the header and the first look at it.
    void answerThatIsNotReadClosesItsConnection()
    {
        asio::io_context context;
        raw_server endpoint(context, [](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            while (!(co_await caller->readUntil("\r\n\r\n")).empty()) {
                co_await caller->send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
        });
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            for (const std::int64_t connections : {1, 2}) {
                const auto stream = co_await client.open(endpointAddress, get(), withAnswerTimeout(2'000));
                CPPUNIT_ASSERT(stream);
                CPPUNIT_ASSERT_EQUAL(connections, client.connectionsOpened());
            }
        });
    }

    void abandonedStreamClosesItsConnection()
    {
        asio::io_context context;
        bool closed = false;
        raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("\r\n\r\n");
            co_await caller->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
            co_await caller->readToEnd();
            closed = true;
        });
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            auto stream = co_await client.open(endpointAddress, get(), withAnswerTimeout(2'000));
            const auto part = co_await stream->read();
            CPPUNIT_ASSERT(part && *part == "ok");
            stream.reset();
            co_await waitUntil([&] { return closed; });
        });
    }

    void deadlineEndsSlowStream()
    {
        asio::io_context context;
        raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("\r\n\r\n");
            bool open = co_await caller->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (open) {
                open = co_await caller->send("1\r\nx\r\n");
                co_await sleepFor(base::milliseconds(5));
            }
        });
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            http_send_options options = withAnswerTimeout(2'000);
            options.deadline = base::clock::now() + base::milliseconds(100);
            const auto response = co_await client.send(endpointAddress, get(), options);
            CPPUNIT_ASSERT(!response && client.hasTimedOut());
        });
    }

    /// Guards against answers that take so many turns of a busy event loop that they miss their deadline.
    void bodyOfKnownLengthArrivesInFewReads()
    {
        constexpr std::size_t length = 60'000;
        asio::io_context context;
        raw_server endpoint(context, [](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("\r\n\r\n");
            co_await caller->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(length, 'x'));
            co_await caller->readToEnd();
        });
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        int reads = 0;
        std::size_t received = 0;
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            const std::shared_ptr<http_client_stream> stream = co_await client.open(endpointAddress, get(), withAnswerTimeout(10'000));
            CPPUNIT_ASSERT(stream);
            while (received < length) {
                const std::optional<std::string_view> part = co_await stream->read();
                CPPUNIT_ASSERT(part && !part->empty());
                received += part->size();
                ++reads;
            }
        });
        constexpr int fewReads = 10;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(reads) + " reads", reads <= fewReads);
    }

    /// Guards against an endpoint that fills the memory with a line that never ends: before a chunk, in a chunk's extension or after the last chunk.
    void linesWithoutEndAreRefused()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (const std::string &start : {head, head + "1;name=", head + "0\r\nTrailer: "}) {
            asio::io_context context;
            std::size_t sent = 0;
            raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                co_await caller->readUntil("\r\n\r\n");
                co_await sendWithoutEnd(caller, start, std::string(blockBytes, '0'), sent);
            });
            http_client client;
            const address endpointAddress = loopback(endpoint.port());
            runUntilDone(context, [&]() -> asio::awaitable<void> {
                http_send_options options = withAnswerTimeout(2'000);
                options.deadline = base::clock::now() + base::milliseconds(1'000);
                const auto response = co_await client.send(endpointAddress, get(), options);
                CPPUNIT_ASSERT(!response);
            });
            CPPUNIT_ASSERT_MESSAGE(client.lastReason().text, client.lastReason().kind == base::error_kind::endpointInvalidAnswer && !client.hasTimedOut());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " bytes sent", sent <= maxTakenBytes);
        }
    }

    /// Guards against collecting a body that never ends, such as that of an engine's answer to the node's own call.
    void bodyWithoutEndIsRefused()
    {
        asio::io_context context;
        std::size_t sent = 0;
        raw_server endpoint(context, [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("\r\n\r\n");
            const std::string data(blockBytes, 'x');
            co_await sendWithoutEnd(caller, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + data + "\r\n", sent);
        });
        http_client client;
        const address endpointAddress = loopback(endpoint.port());
        runUntilDone(context, [&]() -> asio::awaitable<void> {
            http_send_options options = withAnswerTimeout(10'000);
            options.maxAnswerBytes = 64 * 1024;
            const auto response = co_await client.send(endpointAddress, get(), options);
            CPPUNIT_ASSERT(!response && client.lastReason().kind == base::error_kind::endpointInvalidAnswer);
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " bytes sent", sent <= maxTakenBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);
