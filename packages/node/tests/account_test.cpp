#include "log_file.hpp"
#include "route_api_fixture.hpp"

#include <chervilbend/node/peer_api.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

using namespace chervilbend;
using namespace chervilbend::node::test;
namespace asio = boost::asio;

namespace
{

const std::string secretKey = "asnmgkcuyj8pjbvk9m68";
const std::string ownKey = "Authorization: Token " + secretKey + "\r\n";

fleet::account_rule accountOf(const std::string &name, std::vector<std::string> keys)
{
    fleet::account_rule account;
    account.id = base::account_id(name);
    account.keys = std::move(keys);
    account.priority = 1;
    return account;
}

/// A node whose configuration has accounts, and an endpoint that records what it receives.
struct account_fixture : route_api_fixture {
    account_fixture()
    {
        setAccounts({accountOf("print", {secretKey}), accountOf("school", {"k3"})});
        addEndpoint([this](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            while (true) {
                const std::string request = co_await caller->readUntil("{}");
                if (request.empty()) {
                    co_return;
                }
                received.push_back(request);
                co_await caller->send(sealedResponse("done"));
            }
        });
        api.setAuthentication({base::milliseconds(3'000), isStrict, base::milliseconds(5'000)}, [this] { return base::clock::now() - configurationAge; });
    }

    void setAccounts(std::vector<fleet::account_rule> accounts)
    {
        auto next = std::make_shared<fleet::traffic_configuration>(*configuration);
        ++next->version;
        next->accounts = std::move(accounts);
        for (fleet::route_rule &route : next->routes) {
            route.isPublic = route.pathPrefix == "/status/";
        }
        configuration = next;
        configure();
    }

    /// The accounts as before, with a quota of @p rate tokens a second for the first.
    void setQuota(double rate)
    {
        std::vector<fleet::account_rule> accounts = *configuration->accounts;
        accounts.at(0).quota = {fleet::quota_unit::tokens, rate, rate, 50};
        setAccounts(accounts);
        quotas->setLimits({{accounts.at(0).id, {rate, rate}}});
        // The account counts as used from its first request on.
        quotas->abandon(*quotas->charge(accounts.at(0).id, 0.001));
    }

    void setStrict()
    {
        api.setAuthentication({base::milliseconds(3'000), true, base::milliseconds(5'000)}, [this] { return base::clock::now() - configurationAge; });
    }

    bool isStrict = false;
    base::milliseconds configurationAge{0};
    std::vector<std::string> received;
};

/// Grants a node what it holds to the account, as the answer of an allocator.
void grant(routing::account_quotas &quotas, const std::string &account, double units)
{
    const routing::quota_report report = quotas.takeReport();
    routing::quota_answer answer;
    answer.isGranting = true;
    answer.accounts[base::account_id(account)] = {units, {units, units, 0}, base::milliseconds(units > 0 ? 0 : 2'500)};
    quotas.apply(report, answer);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

/// Guards against requests that run for the wrong account or without a valid key, and against keys that leave the node.
class account_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(account_test);
    CPPUNIT_TEST(endpointGetsTheAccount);
    CPPUNIT_TEST(requestWithoutValidKeyIsUnauthorized);
    CPPUNIT_TEST(publicRouteNeedsNoKey);
    CPPUNIT_TEST(callerCannotNameAnAccount);
    CPPUNIT_TEST(accountInATrailerIsNotBelieved);
    CPPUNIT_TEST(removedKeyIsRefusedOnAKeptConnection);
    CPPUNIT_TEST(outdatedNodeDoesNotCallAKeyUnknown);
    CPPUNIT_TEST(strictNodeRefusesWhatMayBeRevoked);
    CPPUNIT_TEST(relayedRequestKeepsItsAccount);
    CPPUNIT_TEST(accountsShareAQueue);
    CPPUNIT_TEST(noKeyIsLogged);
    CPPUNIT_TEST(requestBeyondTheQuotaIsToldWhenToComeBack);
    CPPUNIT_TEST(refusedRequestIsNotCharged);
    CPPUNIT_TEST(relayedRequestIsNotChargedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void endpointGetsTheAccount()
    {
        account_fixture fixture;
        CPPUNIT_ASSERT(fixture.ask("/order/x", ownKey).ends_with("done"));
        CPPUNIT_ASSERT_MESSAGE(fixture.received.at(0), contains(fixture.received.at(0), "Chervilbend-Tenant: print\r\n"));
        CPPUNIT_ASSERT_MESSAGE(fixture.received.at(0), !contains(fixture.received.at(0), secretKey) && !contains(fixture.received.at(0), "Authorization"));
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "chervilbend_account_requests_total{account=\"print\",decision=\"admitted\"} 1"));
    }

    void requestWithoutValidKeyIsUnauthorized()
    {
        account_fixture fixture;
        for (const std::string &fields : {std::string(), std::string("Authorization: Token k9\r\n"), ownKey + "Authorization: Token k3\r\n"}) {
            const std::string answer = fixture.ask("/order/x", fields);
            CPPUNIT_ASSERT_MESSAGE(fields + answer, contains(answer, " 401 ") && contains(answer, "unknown-key"));
        }
        CPPUNIT_ASSERT(fixture.received.empty());
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "chervilbend_account_requests_total{account=\"\",decision=\"invalid_key\"} 3"));
    }

    void publicRouteNeedsNoKey()
    {
        account_fixture fixture;
        CPPUNIT_ASSERT(fixture.ask("/status/x", "Chervilbend-Tenant: school\r\nAuthorization: Token k9\r\n").ends_with("done"));
        CPPUNIT_ASSERT_MESSAGE(fixture.received.at(0), !contains(fixture.received.at(0), "Tenant") && !contains(fixture.received.at(0), "Authorization"));
    }

    void callerCannotNameAnAccount()
    {
        account_fixture fixture;
        fixture.ask("/order/x",
                    ownKey + "Chervilbend-Tenant: school\r\nchervilbend-tenant: school\r\nCHERVILBEND-TENANT:school\r\nChervilbend-Relay-Account: school\r\n"
                        + "Connection: Chervilbend-Tenant\r\n");
        const std::string &sent = fixture.received.at(0);
        CPPUNIT_ASSERT_MESSAGE(sent, !contains(sent, "school") && countOf(sent, "enant") == 1 && contains(sent, "Chervilbend-Tenant: print"));
    }

    void accountInATrailerIsNotBelieved()
    {
        account_fixture fixture;
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send("POST /order/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nChervilbend-Attempt-Id: own1\r\n" + ownKey
                                  + "Transfer-Encoding: chunked\r\nTrailer: Chervilbend-Tenant\r\n\r\n2\r\n{}\r\n0\r\nChervilbend-Tenant: school\r\n\r\n");
            co_await caller->readToEnd();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.received.size());
        CPPUNIT_ASSERT_MESSAGE(fixture.received.at(0), !contains(fixture.received.at(0), "school") && contains(fixture.received.at(0), "Tenant: print"));
    }

    void removedKeyIsRefusedOnAKeptConnection()
    {
        account_fixture fixture;
        const std::string request = "POST /order/x HTTP/1.1\r\nHost: h.example\r\nChervilbend-Attempt-Id: own1\r\n" + ownKey + "Content-Length: 2\r\n\r\n{}";
        std::string second;
        net::test::runUntilDone(fixture.context, [&]() -> asio::awaitable<void> {
            const auto caller = co_await raw_peer::connect(fixture.port);
            co_await caller->send(request);
            co_await caller->readUntil("done");
            fixture.setAccounts({accountOf("print", {}), accountOf("school", {"k3"})});
            co_await caller->send(request);
            second = co_await caller->readUntil("\r\n\r\n");
        });
        CPPUNIT_ASSERT_MESSAGE(second, contains(second, " 401 "));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.received.size());
    }

    /// 401 would be final for the caller, although the key may have been added while this node could not read the store.
    void outdatedNodeDoesNotCallAKeyUnknown()
    {
        account_fixture fixture;
        fixture.configurationAge = base::milliseconds(3'500);
        const std::string answer = fixture.ask("/order/x", "Authorization: Token k9\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "not run"));
        CPPUNIT_ASSERT_MESSAGE("a known key goes on", fixture.ask("/order/x", ownKey).ends_with("done"));
    }

    void strictNodeRefusesWhatMayBeRevoked()
    {
        account_fixture fixture;
        fixture.setStrict();
        fixture.configurationAge = base::milliseconds(4'500);
        CPPUNIT_ASSERT(fixture.ask("/order/x", ownKey).ends_with("done"));
        fixture.configurationAge = base::milliseconds(5'500);
        CPPUNIT_ASSERT(contains(fixture.ask("/order/x", ownKey), " 503 "));
        CPPUNIT_ASSERT_MESSAGE("needs no key", fixture.ask("/status/x").ends_with("done"));
    }

    void relayedRequestKeepsItsAccount()
    {
        account_fixture fixture;
        class no_calls : public net::http_handler
        {
            asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> /*exchange*/) override
            {
                co_return;
            }
        };
        no_calls calls;
        node::peer_api peers(fixture.codec, calls, fixture.api, [] { return true; });
        const auto peerServer = std::make_shared<net::http_server>(fixture.context.get_executor(), peers);
        fixture.port = peerServer->listen({"127.0.0.1", 0}).value();
        const std::string relayed = "Chervilbend-Relay-Attempts: 0\r\n";
        CPPUNIT_ASSERT(fixture.ask("/order/x", relayed + "Chervilbend-Relay-Account: added later\r\n").ends_with("done"));
        CPPUNIT_ASSERT_MESSAGE(fixture.received.at(0), contains(fixture.received.at(0), "Chervilbend-Tenant: added later\r\n"));
        CPPUNIT_ASSERT_MESSAGE("from a node without accounts", contains(fixture.ask("/order/x", relayed), " 401 "));
        peerServer->closeAll();
    }

    void accountsShareAQueue()
    {
        account_fixture fixture;
        fixture.ask("/order/x", ownKey);
        CPPUNIT_ASSERT_EQUAL(std::string("print"), fixture.director.submitted.at(0).account.value());
    }

    void requestBeyondTheQuotaIsToldWhenToComeBack()
    {
        account_fixture fixture;
        fixture.setQuota(1'000);
        grant(*fixture.quotas, "print", 150);
        CPPUNIT_ASSERT(fixture.ask("/order/x", ownKey + "Chervilbend-Token-Counts: 60,40\r\n").ends_with("done"));
        CPPUNIT_ASSERT_MESSAGE("without counts", fixture.ask("/order/x", ownKey).ends_with("done"));
        // The allocator has nothing left.
        fixture.quotas->onGrantsWanted([&] { grant(*fixture.quotas, "print", 0); });
        const std::string refused = fixture.ask("/order/x", ownKey);
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, " 429 ") && contains(refused, "quota-exceeded") && contains(refused, "not run"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "Retry-After: 2.500\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.received.size());
        CPPUNIT_ASSERT_MESSAGE("an account without a quota", fixture.ask("/order/x", "Authorization: Token k3\r\n").ends_with("done"));
        CPPUNIT_ASSERT(contains(fixture.registry.text(), "{account=\"print\",decision=\"over_quota\"} 1"));
    }

    void refusedRequestIsNotCharged()
    {
        account_fixture fixture;
        fixture.setQuota(1'000);
        grant(*fixture.quotas, "print", 150);
        fixture.director.pools.clear();
        CPPUNIT_ASSERT(contains(fixture.ask("/order/x", ownKey), " 503 "));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150, fixture.quotas->balance(base::account_id("print")), 0.1);
    }

    void relayedRequestIsNotChargedAgain()
    {
        account_fixture fixture;
        fixture.setQuota(1'000);
        const fleet::route_rule &route = fixture.configuration->routes.at(1);
        fleet::caller_request caller;
        caller.relayedAccount = base::account_id("print");
        const fleet::route_table table(fixture.configuration);
        const node::authentication relayed = node::caller_authentication({}).authenticate(table, route, caller, true, base::milliseconds(0));
        CPPUNIT_ASSERT(relayed.account == base::account_id("print") && relayed.rule && !relayed.refusal);
        CPPUNIT_ASSERT_EQUAL(0.0, fixture.quotas->balance(base::account_id("print")));
    }

    void noKeyIsLogged()
    {
        const log_file log;
        const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
        const auto appender = std::make_shared<log4cxx::FileAppender>(layout, log.path());
        log4cxx::Logger::getRootLogger()->addAppender(appender);
        account_fixture fixture;
        fixture.ask("/order/x", ownKey);
        fixture.ask("/order/x", "Authorization: Token unknown-secret\r\n");
        log4cxx::Logger::getRootLogger()->removeAppender(appender);
        CPPUNIT_ASSERT(log.contains("account=print") || log.contains("\"account\":\"print\""));
        CPPUNIT_ASSERT(!log.contains(secretKey) && !log.contains("unknown-secret"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_test);
