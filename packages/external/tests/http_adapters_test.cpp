#include <chervilbend/external/http/http_engine_control.hpp>
#include <chervilbend/external/http/http_host_list.hpp>
#include <chervilbend/external/http/http_log_service.hpp>
#include <chervilbend/external/http/http_weight_store.hpp>
#include <chervilbend/net/http_client.hpp>

#include "../../net/tests/answer_statuses.hpp"
#include "../../net/tests/raw_peer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using namespace chervilbend;
using external::append_status;
using external::command_status;
using net::test::raw_peer;

/// Guards against services whose answers are wrong, incomplete, too long or missing: an append or command that may have taken effect must never be reported as
/// refused or not sent, and no answer may terminate the process or exhaust its memory.
class http_adapters_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_adapters_test);
    CPPUNIT_TEST(sendsTheDocumentedRequests);
    CPPUNIT_TEST(distinguishesRefusedAppendsFromUnknownOnes);
    CPPUNIT_TEST(copyOfARefusedReadIsNotTheNextAnswer);
    CPPUNIT_TEST(refusesMalformedPages);
    CPPUNIT_TEST(distinguishesUnsentCommandsFromUnknownOnes);
    CPPUNIT_TEST(refusesMalformedReports);
    CPPUNIT_TEST(skipsInvalidHosts);
    CPPUNIT_TEST(refusesMalformedStoreStatuses);
    CPPUNIT_TEST(failsOnSlowTruncatedAndOversizedAnswers);
    CPPUNIT_TEST(longPageIsReadWhileItArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    void sendsTheDocumentedRequests()
    {
        answerWith(ok(R"({"offset":7})"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), append().offset.count());
        CPPUNIT_ASSERT(m_received.find("POST /streams/control/records HTTP/1.1\r\n") == 0);
        CPPUNIT_ASSERT(m_received.find("\r\n\r\n[1]") != std::string::npos);
        answerWith(ok(R"({"firstRetained":3,"head":9,"records":[{"offset":8,"payload":"[\"ü\"]"},{"offset":9,"payload":""}]})"));
        const auto page = readPage(7);
        CPPUNIT_ASSERT(m_received.find("GET /streams/control/records?after=7&waitMs=100 HTTP/1.1\r\n") == 0);
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::string("[\"ü\"]"), page->records.at(0).payload);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), page->head.count());
    }

    void distinguishesRefusedAppendsFromUnknownOnes()
    {
        for (const char *refusal : {"503 Service Unavailable", "413 Payload Too Large"}) {
            answerWith(withStatus(refusal, "{}"));
            CPPUNIT_ASSERT(append().status == append_status::refused);
        }
        for (const std::string &ambiguous : {withStatus("502 Bad Gateway", ""),
                                             withStatus("500 Internal Server Error", "{}"),
                                             ok(""),
                                             ok("[]"),
                                             ok("{}"),
                                             ok(R"({"offset":0})"),
                                             ok(R"({"offset":1.5})"),
                                             ok(R"({"offset":99999999999999999999})"),
                                             std::string("no HTTP\r\n\r\n"),
                                             std::string()}) {
            answerWith(ambiguous);
            CPPUNIT_ASSERT_MESSAGE(ambiguous, append().status == append_status::unknown);
            CPPUNIT_ASSERT_MESSAGE(ambiguous, !m_log->lastReason().text.empty());
        }
        for (const std::string &status : net::test::statusesOutsideTheProtocol) {
            answerWith(net::test::emptyAnswer(status) + ok(R"({"offset":7})"));
            CPPUNIT_ASSERT_MESSAGE(status, append().status == append_status::unknown);
            CPPUNIT_ASSERT_MESSAGE(m_log->lastReason().text, m_log->lastReason().text.find("outside") != std::string::npos);
        }
        closePort();
        CPPUNIT_ASSERT(append().status == append_status::refused);
    }

    /// The service writes a refusal once more before the answer to the next read on the connection, so that it looks unavailable for longer than it is.
    void copyOfARefusedReadIsNotTheNextAnswer()
    {
        bool hasRefused = false;
        serve([&](std::shared_ptr<raw_peer> peer) -> asio::awaitable<void> {
            std::string copy;
            while (!(co_await peer->readUntil("\r\n\r\n")).empty()) {
                const bool refuses = !std::exchange(hasRefused, true);
                const std::string answer = refuses ? withStatus("503 Busy", "{}") : ok(R"({"firstRetained":1,"head":9,"records":[]})");
                co_await peer->send(copy + answer);
                copy = answer;
            }
        });
        CPPUNIT_ASSERT(!readPage(9));
        CPPUNIT_ASSERT(readPage(9));
    }

    void refusesMalformedPages()
    {
        const std::vector<std::string> bodies{
            "{}",
            "null",
            std::string(64, '[') + std::string(64, ']'),
            R"({"firstRetained":1,"head":9})",
            R"({"firstRetained":1,"head":9,"records":[7]})",
            R"({"firstRetained":-1,"head":9,"records":[]})",
            R"({"firstRetained":1,"head":9,"records":[{"offset":8,"payload":5}]})",
            // Records that were not requested, lie beyond the head or are out of order would be applied twice or in the wrong order.
            R"({"firstRetained":1,"head":9,"records":[{"offset":7,"payload":"x"}]})",
            R"({"firstRetained":1,"head":9,"records":[{"offset":10,"payload":"x"}]})",
            R"({"firstRetained":1,"head":9,"records":[{"offset":9,"payload":"x"},{"offset":8,"payload":"x"}]})",
            "{\"firstRetained\":1,\"head\":9,\"records\":[{\"offset\":8,\"payload\":\"\xff\"}]}",
        };
        for (const std::string &body : bodies) {
            answerWith(ok(body));
            CPPUNIT_ASSERT_MESSAGE(body, !readPage(7));
            CPPUNIT_ASSERT_MESSAGE(
                body, m_log->lastReason().kind == base::error_kind::endpointInvalidAnswer || m_log->lastReason().kind == base::error_kind::logUnavailable);
        }
    }

    void distinguishesUnsentCommandsFromUnknownOnes()
    {
        answerWith(ok(R"({"status":"accepted"})"));
        CPPUNIT_ASSERT(sendCommand() == command_status::accepted);
        CPPUNIT_ASSERT(m_received.find("POST /engine/commands HTTP/1.1\r\n") == 0);
        CPPUNIT_ASSERT(m_received.find(R"({"action":"load","item":"m@1","bytes":5,"fencingToken":3})") != std::string::npos);
        answerWith(withStatus("409 Conflict", R"({"detail":"token 3 is older than 4"})"));
        CPPUNIT_ASSERT(sendCommand() == command_status::refused);
        CPPUNIT_ASSERT(m_engines->lastReason().text.find("token 3 is older than 4") != std::string::npos);
        for (const std::string &ambiguous :
             {withStatus("504 Gateway Timeout", ""), std::string(), std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")}) {
            answerWith(ambiguous);
            CPPUNIT_ASSERT_MESSAGE(ambiguous, sendCommand() == command_status::unknown);
        }
        closePort();
        CPPUNIT_ASSERT(sendCommand() == command_status::notSent);
    }

    void refusesMalformedReports()
    {
        const std::string good = R"({"life":2,"fencingToken":3,"running":1,"queued":0,"lagMs":250,"items":[{"item":"m@1","bytes":5,"loaded":true}]})";
        answerWith(ok(good));
        const auto report = readReport();
        CPPUNIT_ASSERT(report && report->items.at(0).loaded && report->lag == base::milliseconds(250));
        for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
                 {"\"life\":2", "\"life\":\"2\""}, {"\"bytes\":5", "\"bytes\":-5"}, {"true", "1"}, {"\"m@1\"", "\"\""}, {"250", "1e300"}, {"[{", "[[{"}}) {
            std::string bad = good;
            bad.replace(bad.find(from), from.size(), to);
            answerWith(ok(bad));
            CPPUNIT_ASSERT_MESSAGE(bad, !readReport());
            CPPUNIT_ASSERT_MESSAGE(bad, m_engines->lastReason().kind == base::error_kind::endpointInvalidAnswer);
        }
    }

    void skipsInvalidHosts()
    {
        const std::string engine = R"({"id":"e","kind":"engine","address":"127.0.0.1:1","zone":"a","memoryBytes":9,"accelerators":1,"checksFencing":true})";
        const std::string service = R"({"id":"s","kind":"service","address":"[::1]:2","zone":"a","leaving":true,"service":"orders"})";
        const std::string bad = R"({"id":"x","kind":"printer","address":"127.0.0.1:3","zone":"a"},{"id":"y","kind":"node","address":"name:3","zone":"a"},4)";
        answerWith(ok(hostList(engine + ',' + bad + ',' + service)));
        const auto hosts = fetchHosts();
        CPPUNIT_ASSERT(hosts);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), hosts->size());
        CPPUNIT_ASSERT(hosts->at(0).checksFencing && hosts->at(1).draining);
        std::string duplicated = engine;
        duplicated.append(",").append(engine);
        for (const std::string &unusable : {hostList(bad), hostList(duplicated), std::string(R"({"hosts":{}})")}) {
            answerWith(ok(unusable));
            CPPUNIT_ASSERT_MESSAGE(unusable, !fetchHosts());
        }
    }

    void refusesMalformedStoreStatuses()
    {
        answerWith(ok(R"({"loadsPerSecond":2,"slots":4,"adapterSlots":30,"inTransit":1})"));
        CPPUNIT_ASSERT(storeStatus());
        for (const char *bad :
             {R"({"loadsPerSecond":0,"slots":4,"adapterSlots":30,"inTransit":1})", R"({"loadsPerSecond":2,"slots":0,"adapterSlots":30,"inTransit":1})"}) {
            answerWith(ok(bad));
            CPPUNIT_ASSERT_MESSAGE(bad, !storeStatus());
        }
    }

    void failsOnSlowTruncatedAndOversizedAnswers()
    {
        // Slow: the header arrives, then single bytes for longer than the whole answer may take.
        serve([](std::shared_ptr<raw_peer> peer) -> asio::awaitable<void> {
            co_await peer->readUntil("\r\n\r\n");
            co_await peer->send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
            bool open = true;
            while (open) {
                co_await net::sleepFor(base::milliseconds(20));
                open = co_await peer->send(" ");
            }
        });
        CPPUNIT_ASSERT(!readPage(0));
        CPPUNIT_ASSERT(append().status == append_status::unknown);
        // Oversized: the adapter must stop reading an endless body at its limit.
        serve([](std::shared_ptr<raw_peer> peer) -> asio::awaitable<void> {
            co_await peer->readUntil("\r\n\r\n");
            co_await peer->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            const std::string chunk = "1000\r\n" + std::string(0x1000, ' ') + "\r\n";
            bool open = true;
            while (open) {
                open = co_await peer->send(chunk);
            }
        });
        CPPUNIT_ASSERT(!readPage(0));
        CPPUNIT_ASSERT(m_log->lastReason().text.find("longer than 65536 bytes") != std::string::npos);
        // Truncated: valid JSON that is shorter than the announced length, and an answer with neither a length nor chunked encoding.
        answerWith("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"offset\":7}");
        CPPUNIT_ASSERT(append().status == append_status::unknown);
        answerWith("HTTP/1.1 200 OK\r\n\r\n{\"offset\":7}");
        CPPUNIT_ASSERT(append().status == append_status::unknown);
    }

    /// Failure: a page that took longer over a thin link than a call without an answer may last was read again and again, and never whole.
    void longPageIsReadWhileItArrives()
    {
        constexpr std::size_t payloadBytes = 60'000;
        constexpr std::size_t sliceBytes = 2'000;
        const std::string page = R"({"firstRetained":1,"head":9,"records":[{"offset":9,"payload":")" + std::string(payloadBytes, 'x') + R"("}]})";
        serve([answer = ok(page)](std::shared_ptr<raw_peer> peer) -> asio::awaitable<void> {
            co_await peer->readUntil("\r\n\r\n");
            for (std::size_t begin = 0; begin < answer.size(); begin += sliceBytes) {
                co_await peer->send(answer.substr(begin, sliceBytes));
                co_await net::sleepFor(base::milliseconds(20));
            }
        });
        const std::optional<external::log_page> read = readPage(8);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT_EQUAL(payloadBytes, read->records.at(0).payload.size());
    }

private:
    static std::string withStatus(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string ok(const std::string &body)
    {
        return withStatus("200 OK", body);
    }

    static std::string hostList(const std::string &entries)
    {
        return R"({"hosts":[)" + entries + "]}";
    }

    void serve(net::test::raw_server::script script)
    {
        m_server = std::make_unique<net::test::raw_server>(m_context, std::move(script));
        connectAdapters();
    }

    /// Answers each request with @p answer and closes.
    void answerWith(const std::string &answer)
    {
        serve([this, answer](std::shared_ptr<raw_peer> peer) -> asio::awaitable<void> {
            m_received = co_await peer->readUntil("\r\n\r\n");
            if (m_received.find("POST") == 0) {
                m_received += co_await peer->readUntil(m_received.find("/streams/") == std::string::npos ? "}" : "]");
            }
            co_await peer->send(answer);
            peer->close();
        });
    }

    void closePort()
    {
        m_server.reset();
    }

    void connectAdapters()
    {
        external::http_adapter_options options;
        options.answerTimeout = base::milliseconds(300);
        options.maxAnswerBytes = 65'536;
        m_address = {"127.0.0.1", m_server->port()};
        m_log = std::make_unique<external::http_log_service>(m_client, m_address, "control", options);
        m_hosts = std::make_unique<external::http_host_list>(m_client, m_address, options);
        m_engines = std::make_unique<external::http_engine_control>(m_client, options);
        m_store = std::make_unique<external::http_weight_store>(m_client, m_address, options);
    }

    template<typename Value>
    Value runToCompletion(std::function<asio::awaitable<Value>()> call)
    {
        std::optional<Value> result;
        net::test::runUntilDone(m_context, [&]() -> asio::awaitable<void> { result.emplace(co_await call()); });
        return std::move(*result);
    }

    external::append_result append()
    {
        return runToCompletion<external::append_result>([this] { return m_log->append("[1]"); });
    }

    std::optional<external::log_page> readPage(std::int64_t after)
    {
        return runToCompletion<std::optional<external::log_page>>([this, after] { return m_log->read(base::log_offset(after), base::milliseconds(100)); });
    }

    command_status sendCommand()
    {
        const external::engine_command command{external::engine_action::load, base::item_id("m@1"), base::byte_count(5), base::log_offset(3)};
        return runToCompletion<command_status>([this, command] { return m_engines->send(m_address, command); });
    }

    std::optional<external::engine_report> readReport()
    {
        return runToCompletion<std::optional<external::engine_report>>([this] { return m_engines->report(m_address); });
    }

    std::optional<std::vector<external::host_entry>> fetchHosts()
    {
        return runToCompletion<std::optional<std::vector<external::host_entry>>>([this] { return m_hosts->fetch(); });
    }

    std::optional<external::weight_store_status> storeStatus()
    {
        return runToCompletion<std::optional<external::weight_store_status>>([this] { return m_store->status(); });
    }

    asio::io_context m_context;
    net::http_client m_client;
    net::address m_address;
    std::string m_received;
    std::unique_ptr<net::test::raw_server> m_server;
    std::unique_ptr<external::http_log_service> m_log;
    std::unique_ptr<external::http_host_list> m_hosts;
    std::unique_ptr<external::http_engine_control> m_engines;
    std::unique_ptr<external::http_weight_store> m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_adapters_test);
