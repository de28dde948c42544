#include "metadata_store_fixture.hpp"

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fakes/platform/call_rate.hpp>

#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace chervilbend;
using namespace chervilbend::fakes::test;

/// Guards against a stand-in that hides from tests how the platform's store answers reads of its log, and what it refuses.
class metadata_store_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metadata_store_log_test);
    CPPUNIT_TEST(expiredRecordsAreGoneButNotTheNewestOfAKey);
    CPPUNIT_TEST(readHoldsAtMostItsKilobytesButOneRecord);
    CPPUNIT_TEST(answerOfManyBytesArrivesWhole);
    CPPUNIT_TEST(heldReadEndsWithTheNextRecord);
    CPPUNIT_TEST(readsBeyondTheRateAreRefused);
    CPPUNIT_TEST(rateRefillsWithTimeUpToOneSecond);
    CPPUNIT_TEST(callsAreCountedByPathAndStatus);
    CPPUNIT_TEST(appendIsAllOrNothing);
    CPPUNIT_TEST(appendToTopicsOfOthersIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<store_fixture>();
    }

    void tearDown() override
    {
        m_fixture.reset();
    }

    /// A store that kept all would hide a client that can't go on when its position has expired; one that dropped the newest of a key, lose configurations.
    void expiredRecordsAreGoneButNotTheNewestOfAKey()
    {
        m_fixture->store.putConfiguration("c");
        m_fixture->put({"a", "a", "a", "a"});
        m_fixture->store.setRetention(3);
        const net::http_response gone = m_fixture->call(readPath + operatorQuery + "&from=1");
        CPPUNIT_ASSERT_EQUAL(http::status::gone, gone.result());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), json::parse(gone.body()).at("first").as_int64());
        const log_answer retained = m_fixture->read("&from=2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), retained.first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), retained.end);
        assertEqual({"\x01"
                     "av",
                     "\x01"
                     "av",
                     "\x01"
                     "av"},
                    retained.records);
        assertEqual({"a", "config"}, m_fixture->newest().keys);
        m_fixture->put({"b"});
        CPPUNIT_ASSERT_EQUAL(410, m_fixture->status(readPath + operatorQuery + "&from=2"));
        m_fixture->store.setRetention(0);
        CPPUNIT_ASSERT_EQUAL(410, m_fixture->status(readPath + operatorQuery + "&from=5"));
        CPPUNIT_ASSERT(m_fixture->read("&from=6").records.empty());
        assertEqual({"a", "b", "config"}, m_fixture->newest().keys);
    }

    /// A store that gave all it has would hide a client that takes a part for the whole; one that gave no large record would hold it for ever.
    void readHoldsAtMostItsKilobytesButOneRecord()
    {
        m_fixture->put({"a", "b", "c"}, std::string(500, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_fixture->read("&from=0&maxKb=1").records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fixture->read("&from=2&maxKb=1").records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fixture->read("&from=0&maxKb=0").records.size());
        m_fixture->put({"d", "e", "f", "g"}, std::string(300'000, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fixture->read("&from=3&maxKb=1").records.size());
        const log_answer page = m_fixture->read("&from=3");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), page.end);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), m_fixture->read("&from=0&maxKb=18446744073709551615").records.size());
    }

    /// A store that wrote only what the socket's buffer takes at once would break the connection of a client that reads slowly.
    void answerOfManyBytesArrivesWhole()
    {
        // More than the buffers of both sides of a loopback connection take.
        std::string large;
        large.resize(15'000'000, 'x');
        m_fixture->put({"a"}, large);
        const log_answer answer = m_fixture->read("&from=0");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer.records.size());
        CPPUNIT_ASSERT_EQUAL(large.size() + 2, answer.records[0].size());
        CPPUNIT_ASSERT(answer.records[0].ends_with(large));
    }

    /// A read that is not held, or not woken, would hide a client that learns of a change only by luck.
    void heldReadEndsWithTheNextRecord()
    {
        std::optional<net::http_response> response;
        const std::string target = readPath + operatorQuery + "&from=0&waitMs=30000";
        net::test::runUntilDone(m_fixture->context, [&]() -> asio::awaitable<void> {
            asio::co_spawn(m_fixture->context, m_fixture->send(target, std::nullopt, &response), asio::detached);
            co_await net::test::waitUntil([&] { return m_fixture->store.calls(readPath) == 1; });
            // The answer to a later call shows that the store has come to the read.
            std::optional<net::http_response> later;
            co_await m_fixture->send(newestPath + operatorQuery, std::nullopt, &later);
            // Another topic's record wakes it, too, and must not end it.
            m_fixture->store.putServer("s", "v");
            co_await m_fixture->send(newestPath + operatorQuery, std::nullopt, &later);
            CPPUNIT_ASSERT(!response);
            m_fixture->store.putOperatorRecord("a", "v");
            co_await net::test::waitUntil([&] { return response.has_value(); });
        });
        CPPUNIT_ASSERT_EQUAL(http::status::ok, response->result());
        assertEqual({"\x01"
                     "av"},
                    store_fixture::split(response->body()).records);
    }

    /// Without refusals, nothing shows how a node does when all nodes start at once and share the rate.
    void readsBeyondTheRateAreRefused()
    {
        m_fixture->put({"a"});
        // The next one is due after a thousand seconds, so that the machine's speed has no part in it.
        m_fixture->store.setReadRate(0.001);
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->status(newestPath + operatorQuery));
        CPPUNIT_ASSERT_EQUAL(429, m_fixture->status(newestPath + operatorQuery));
        CPPUNIT_ASSERT_EQUAL(429, m_fixture->status(readPath + operatorQuery + "&from=0"));
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->status(appendPath + "?topic=log&part=0", ""));
        m_fixture->store.setReadRate(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->status(newestPath + operatorQuery));
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->status(readPath + operatorQuery + "&from=0"));
    }

    /// A rate that saved up more than one second, or did not refill, would refuse other calls than the platform's store.
    void rateRefillsWithTimeUpToOneSecond()
    {
        base::manual_time_source time;
        fakes::call_rate rate(4);
        const auto takeAll = [&] {
            int taken = 0;
            while (rate.take()) {
                ++taken;
            }
            return taken;
        };
        CPPUNIT_ASSERT_EQUAL(4, takeAll());
        time.advance(base::milliseconds(249));
        CPPUNIT_ASSERT_EQUAL(0, takeAll());
        time.advance(base::milliseconds(251));
        CPPUNIT_ASSERT_EQUAL(2, takeAll());
        time.advance(base::milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(4, takeAll());
    }

    /// Tests of the load that nodes put on the store rely on these counts.
    void callsAreCountedByPathAndStatus()
    {
        m_fixture->put({"a"});
        m_fixture->status(newestPath + operatorQuery);
        m_fixture->status(newestPath + operatorQuery + "&after=a");
        m_fixture->status(newestPath + operatorQuery + "&after=%");
        m_fixture->status(newestPath);
        m_fixture->status(newestPath + "#" + operatorQuery);
        m_fixture->status(readPath + operatorQuery + "&from=0");
        m_fixture->store.setFault(fakes::store_fault::busy);
        m_fixture->status(readPath + operatorQuery + "&from=0");
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->status("/api/other"));
        m_fixture->store.setFault(fakes::store_fault::none);
        CPPUNIT_ASSERT_EQUAL(404, m_fixture->status("/api/other" + operatorQuery + "&from=0&x=/api/log-read?"));
        const fakes::metadata_store &store = m_fixture->store;
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), store.calls(newestPath));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store.calls(newestPath, 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), store.calls(newestPath, 400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), store.calls(newestPath, 503));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store.calls(readPath));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.calls(readPath, 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.calls(readPath, 503));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.calls("/api/other", 404));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), store.calls(appendPath));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), store.calls(appendPath, 200));
    }

    /// A record that is appended in part, or at another position than the caller's, would let tests pass with a state that the platform's store never has.
    void appendIsAllOrNothing()
    {
        const std::string status = "?topic=keyed.status&part=0";
        const std::string frame("\0\0\0\3\1av", 7);
        CPPUNIT_ASSERT_EQUAL(400, m_fixture->status(appendPath + status, frame + frame.substr(0, 6)));
        CPPUNIT_ASSERT_EQUAL(400, m_fixture->status(appendPath + status, frame + frame.substr(0, 3)));
        CPPUNIT_ASSERT_EQUAL(400, m_fixture->status(appendPath + status, frame + std::string("\0\0\0\2\2a", 6)));
        CPPUNIT_ASSERT_EQUAL(400, m_fixture->status(appendPath + status, frame + std::string("\0\0\0\0", 4)));
        CPPUNIT_ASSERT_EQUAL(412, m_fixture->status(appendPath + status + "&at=1", frame));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), store_fixture::split(m_fixture->call(readPath + status + "&from=0").body()).end);
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->status(appendPath + status + "&at=0", frame + frame));
        CPPUNIT_ASSERT_EQUAL(std::string("{\"offset\":2,\"end\":3}"), m_fixture->call(appendPath + status + "&at=2", frame).body());
        const log_answer answer = store_fixture::split(m_fixture->call(readPath + status + "&from=1").body());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answer.end);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answer.records.size());
    }

    /// A node that wrote into the records of the operator or of the servers would go unnoticed.
    void appendToTopicsOfOthersIsRefused()
    {
        const std::string frame("\0\0\0\3\1av", 7);
        CPPUNIT_ASSERT_EQUAL(403, m_fixture->status(appendPath + operatorQuery, frame));
        CPPUNIT_ASSERT_EQUAL(403, m_fixture->status(appendPath + "?topic=keyed.servers&part=0", frame));
        CPPUNIT_ASSERT(m_fixture->newest().keys.empty());
    }

private:
    std::unique_ptr<store_fixture> m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(metadata_store_log_test);
