#include "../../net/tests/answer_statuses.hpp"
#include "route_api_fixture.hpp"

#include <chervilbend/node/callers/endpoint_reachability.hpp>
#include <chervilbend/node/callers/request_relay.hpp>
#include <chervilbend/node/peer_api.hpp>
#include <chervilbend/routing/helper_nodes.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <utility>

using namespace chervilbend;
using namespace chervilbend::node::test;
namespace asio = boost::asio;

namespace
{

asio::awaitable<std::optional<bool>> reachNothing(std::size_t /*endpoints*/)
{
    co_return false;
}

/// A node that reaches no endpoint, and other nodes that are played by scripts.
struct stranded_fixture : route_api_fixture {
    stranded_fixture()
    {
        configure();
        director.hasRoomElsewhere = false;
        requestForwarder.setReachability(reachability);
        requestForwarder.setRelay(relay);
        reachability.onChange([this] { requestAdmission.refuseWaiting({base::error_kind::noEndpoint, "stranded"}); });
        asio::co_spawn(context, reachability.run(), asio::detached);
        // An endpoint that takes requests and never answers.
        addEndpoint([](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> { co_await caller->readToEnd(); });
    }

    void strand()
    {
        reachability.noteWaiting();
        net::test::runUntilDone(context, [&]() -> asio::awaitable<void> { co_await net::test::waitUntil([&] { return reachability.isStranded(); }); });
    }

    /// Answers each request with @p answer.
    void addHelper(const std::string &answer)
    {
        addHelper([this, answer](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            received.push_back(co_await caller->readUntil("{}"));
            co_await caller->send(answer);
        });
    }

    void addHelper(raw_server::script script, bool takesAccounts = true)
    {
        helperServers.push_back(std::make_unique<raw_server>(context, std::move(script)));
        std::vector<routing::helper_node> all = helpers.helpers();
        all.push_back({"127.0.0.1:" + std::to_string(helperServers.back()->port()), base::zone_id("a"), true, takesAccounts});
        helpers.setHelpers(all);
    }

    node::endpoint_reachability reachability{reachNothing};
    routing::helper_nodes helpers;
    node::request_relay relay{codec, reachability, helpers};
    std::vector<std::unique_ptr<raw_server>> helperServers;
    std::vector<std::string> received;
};

/// A node that serves the requests of others.
struct helping_fixture : route_api_fixture {
    helping_fixture()
    {
        configure();
        peerServer = std::make_shared<net::http_server>(context.get_executor(), peers);
        // ask() sends to this port.
        port = peerServer->listen({"127.0.0.1", 0}).value();
    }

    ~helping_fixture()
    {
        peerServer->closeAll();
    }

    class no_calls : public net::http_handler
    {
    public:
        asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> /*exchange*/) override
        {
            ++calls;
            co_return;
        }

        int calls = 0;
    };

    no_calls calls;
    bool canHelp = true;
    node::peer_api peers{codec, calls, api, [this] {
                             return canHelp;
                         }};
    std::shared_ptr<net::http_server> peerServer;
};

const std::string notRunRefusal = "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: own1\r\nX-Run-State: not run\r\nContent-Length: 0\r\n\r\n";
const std::string unknownFailure = "HTTP/1.1 502 Bad\r\nX-Run-State: unknown\r\nContent-Length: 0\r\n\r\n";

} // namespace

/// Guards against callers of a node that reaches no endpoint being left without an answer, and against requests that run twice or are called not run because
/// another node serves them.
class request_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_relay_test);
    CPPUNIT_TEST(strandedNodePassesRequestsOn);
    CPPUNIT_TEST(requestThatHangsIsPassedOnIfItMayBeRepeated);
    CPPUNIT_TEST(requestThatMayHaveRunIsNotRepeated);
    CPPUNIT_TEST(waitingRequestIsPassedOn);
    CPPUNIT_TEST(helperThatRefusesIsReplaced);
    CPPUNIT_TEST(refusalOfAllHelpersIsTrue);
    CPPUNIT_TEST(unnamedRefusalOfAHelperIsNotBelieved);
    CPPUNIT_TEST(refusalOfAnotherRequestByAHelperIsSkipped);
    CPPUNIT_TEST(copyOfAHelpersRefusalIsNotBelieved);
    CPPUNIT_TEST(lostHelperMeansThatTheRequestMayHaveRun);
    CPPUNIT_TEST(statusOutsideTheProtocolIsNoAnswerOfAHelper);
    CPPUNIT_TEST(unnamedStatusOfAHelperArrives);
    CPPUNIT_TEST(streamGoesOnAtTheHelper);
    CPPUNIT_TEST(streamWithoutEventsMayBeginAtAnyVersion);
    CPPUNIT_TEST(withoutHelpersRequestsAreRefusedAtOnce);
    CPPUNIT_TEST(helperServesRequestsOfOthers);
    CPPUNIT_TEST(helperKeepsToTheAttemptsThatAreLeft);
    CPPUNIT_TEST(strandedHelperRefuses);
    CPPUNIT_TEST(helperNamesTheAttemptInItsRefusals);
    CPPUNIT_TEST(callersCannotSendRelayedRequests);
    CPPUNIT_TEST(earlierVersionGetsNoRequestWithAnAccount);
    CPPUNIT_TEST_SUITE_END();

public:
    void strandedNodePassesRequestsOn()
    {
        stranded_fixture fixture;
        fixture.strand();
        fixture.addHelper(sealedResponse("helped"));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("helped") && contains(answer, "Chervilbend-Response-Seal: s1"));
        const std::string &request = fixture.received.at(0);
        CPPUNIT_ASSERT_MESSAGE(request, contains(request, "Chervilbend-Attempt-Id: own1") && contains(request, "Chervilbend-Relay-Attempts: 0"));
        CPPUNIT_ASSERT_MESSAGE("nothing was tried at an endpoint", fixture.director.submitted.empty());
    }

    void requestThatHangsIsPassedOnIfItMayBeRepeated()
    {
        stranded_fixture fixture;
        fixture.addHelper(sealedResponse("helped"));
        const std::string answer = fixture.ask("/status/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("helped"));
        CPPUNIT_ASSERT(contains(fixture.received.at(0), "Chervilbend-Relay-Attempts: 1"));
    }

    void requestThatMayHaveRunIsNotRepeated()
    {
        stranded_fixture fixture;
        fixture.addHelper(sealedResponse("helped"));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 ") || contains(answer, " 504 "));
        CPPUNIT_ASSERT(fixture.received.empty());
    }

    void waitingRequestIsPassedOn()
    {
        stranded_fixture fixture;
        fixture.director.holdDispatches = true;
        fixture.addHelper(sealedResponse("helped"));
        fixture.reachability.noteWaiting();
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("helped"));
    }

    void helperThatRefusesIsReplaced()
    {
        stranded_fixture fixture;
        fixture.strand();
        fixture.addHelper(notRunRefusal);
        fixture.addHelper(sealedResponse("helped"));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("helped"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.received.size());
    }

    void refusalOfAllHelpersIsTrue()
    {
        stranded_fixture fixture;
        fixture.strand();
        fixture.addHelper(notRunRefusal);
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "Retry-After"));
    }

    /// The refusal may be that of an earlier request: the request ran at the first helper and at the next one.
    void unnamedRefusalOfAHelperIsNotBelieved()
    {
        for (const std::string &path : {std::string("/order/x"), std::string("/report/x")}) {
            stranded_fixture fixture;
            fixture.strand();
            fixture.addHelper("HTTP/1.1 503 Busy\r\nX-Run-State: not run\r\nContent-Length: 0\r\n\r\n" + sealedResponse("helped"));
            fixture.addHelper(sealedResponse("helped again"));
            const std::string answer = fixture.ask(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t(1), fixture.received.size());
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
        }
    }

    void refusalOfAnotherRequestByAHelperIsSkipped()
    {
        stranded_fixture fixture;
        fixture.strand();
        const std::string earlier = "HTTP/1.1 503 Busy\r\nChervilbend-Attempt-Id: other\r\nX-Run-State: not run\r\nContent-Length: 0\r\n\r\n";
        fixture.addHelper(earlier + sealedResponse("helped"));
        CPPUNIT_ASSERT(fixture.ask("/order/x").ends_with("helped"));
    }

    /// The helper refuses an attempt, and when it comes again on the same connection, writes the refusal once more before it serves it.
    void copyOfAHelpersRefusalIsNotBelieved()
    {
        stranded_fixture fixture;
        fixture.strand();
        bool hasRefused = false;
        fixture.addHelper([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            std::string copy;
            while (!(co_await caller->readUntil("{}")).empty()) {
                const std::string answer = std::exchange(hasRefused, true) ? sealedResponse("helped") : notRunRefusal;
                co_await caller->send(copy + answer);
                copy = answer;
            }
        });
        const std::string refused = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, " 503 "));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("helped"));
    }

    void lostHelperMeansThatTheRequestMayHaveRun()
    {
        for (const std::string &lost : {std::string(), unknownFailure}) {
            stranded_fixture fixture;
            fixture.strand();
            fixture.addHelper(lost);
            fixture.addHelper(sealedResponse("helped"));
            const std::string answer = fixture.ask("/order/x");
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 502 "));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.received.size());
        }
    }

    /// Helpers of earlier builds pass such answers on: the caller would get the status, or the request would run at the next helper, too.
    void statusOutsideTheProtocolIsNoAnswerOfAHelper()
    {
        for (const std::string &status : net::test::statusesOutsideTheProtocol) {
            stranded_fixture fixture;
            fixture.strand();
            fixture.addHelper(sealedResponse("", "own1", status + " X") + sealedResponse("next"));
            fixture.addHelper(sealedResponse("helped"));
            const std::string answer = fixture.ask("/order/x");
            CPPUNIT_ASSERT_MESSAGE(net::test::describe(status, answer), answer.starts_with("HTTP/1.1 502 "));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.received.size());
            const std::string repeated = fixture.ask("/status/x");
            CPPUNIT_ASSERT_MESSAGE(net::test::describe(status, repeated), repeated.ends_with("helped"));
        }
    }

    void unnamedStatusOfAHelperArrives()
    {
        stranded_fixture fixture;
        fixture.strand();
        fixture.addHelper(sealedResponse("why", "own1", "520 Origin Failed"));
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 520 Origin Failed\r\n") && answer.ends_with("why"));
    }

    void streamGoesOnAtTheHelper()
    {
        stranded_fixture fixture;
        fixture.endpoints.clear();
        fixture.director.pools.clear();
        fixture.addEndpoint([](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numberedEvent(1) + numberedEvent(2));
            co_await caller->readToEnd();
        });
        fixture.addHelper(sealedStream + numberedEvent(3) + lastChunk);
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word2") && contains(answer, "word3") && answer.ends_with("0\r\n\r\n"));
        const std::string &request = fixture.received.at(0);
        CPPUNIT_ASSERT_MESSAGE(request, contains(request, "Last-Event-Id: 2") && contains(request, "Chervilbend-Relay-Software: v1"));
    }

    /// The endpoint has answered, but its caller has nothing of the stream yet.
    void streamWithoutEventsMayBeginAtAnyVersion()
    {
        stranded_fixture fixture;
        fixture.endpoints.clear();
        fixture.director.pools.clear();
        fixture.addEndpoint([](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            co_await caller->readUntil("{}");
            co_await caller->send(sealedStream);
            co_await caller->readToEnd();
        });
        fixture.addHelper(sealedStream + numberedEvent(1) + lastChunk);
        const std::string answer = fixture.ask("/chat/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word1"));
        CPPUNIT_ASSERT_MESSAGE(fixture.received.at(0), !contains(fixture.received.at(0), "Chervilbend-Relay-Software: v1"));
    }

    void withoutHelpersRequestsAreRefusedAtOnce()
    {
        stranded_fixture fixture;
        fixture.strand();
        const base::time_point startedAt = base::clock::now();
        const std::string answer = fixture.ask("/order/x");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 "));
        CPPUNIT_ASSERT(base::clock::now() - startedAt < base::milliseconds(1'000));
    }

    void helperServesRequestsOfOthers()
    {
        helping_fixture fixture;
        std::string sent;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            sent = co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numberedEvent(5) + lastChunk);
        });
        const std::string answer = fixture.ask("/chat/x", "Chervilbend-Relay-Attempts: 1\r\nChervilbend-Relay-Software: v9\r\nLast-Event-Id: 4\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "word5"));
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), fixture.director.submitted.at(0).softwareVersion.value());
        CPPUNIT_ASSERT_MESSAGE("the other node knows the version", fixture.origins.lookups.empty());
        CPPUNIT_ASSERT_MESSAGE(sent, contains(sent, "Last-Event-Id: 4") && !contains(sent, "Relay"));
        CPPUNIT_ASSERT_EQUAL(0, fixture.calls.calls);
    }

    void helperKeepsToTheAttemptsThatAreLeft()
    {
        helping_fixture fixture;
        int attempts = 0;
        for (int i = 0; i < 3; ++i) {
            fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                ++attempts;
                co_await caller->readUntil("{}");
            });
        }
        fixture.ask("/status/x", "Chervilbend-Relay-Attempts: 1\r\n");
        CPPUNIT_ASSERT_EQUAL(1, attempts);
    }

    void strandedHelperRefuses()
    {
        helping_fixture fixture;
        fixture.canHelp = false;
        fixture.addEndpoint(answerAndClose(sealedResponse("done")));
        const std::string answer = fixture.ask("/order/x", "Chervilbend-Relay-Attempts: 0\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 ") && contains(answer, "X-Run-State: not run"));
        CPPUNIT_ASSERT(fixture.director.submitted.empty());
    }

    /// Whichever part of the node refuses.
    void helperNamesTheAttemptInItsRefusals()
    {
        for (const std::string &path : {std::string("/order/x"), std::string("/nothing/x")}) {
            helping_fixture fixture;
            const std::string answer = fixture.ask(path, "Chervilbend-Relay-Attempts: 0\r\n");
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Chervilbend-Attempt-Id: own1\r\n"));
        }
    }

    /// On the callers' port the header means nothing, and does not reach endpoints.
    /// A helper of an earlier version would send the request to the endpoint without its account.
    void earlierVersionGetsNoRequestWithAnAccount()
    {
        stranded_fixture fixture;
        auto withAccounts = std::make_shared<fleet::traffic_configuration>(*fixture.configuration);
        withAccounts->accounts.emplace().push_back({base::account_id("print"), {"k1"}, std::nullopt, {}});
        fixture.configuration = withAccounts;
        fixture.configure();
        fixture.strand();
        bool isAsked = false;
        fixture.addHelper(
            [&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
                isAsked = true;
                co_await caller->send(sealedResponse("without account"));
            },
            false);
        const std::string withKey = "Authorization: Token k1\r\n";
        CPPUNIT_ASSERT(contains(fixture.ask("/order/x", withKey), " 503 ") && !isAsked);
        fixture.addHelper(sealedResponse("helped"));
        CPPUNIT_ASSERT(fixture.ask("/order/x", withKey).ends_with("helped") && !isAsked);
        const std::string &request = fixture.received.at(0);
        CPPUNIT_ASSERT_MESSAGE(request, contains(request, "Chervilbend-Relay-Account: print\r\n") && !contains(request, "k1"));
    }

    void callersCannotSendRelayedRequests()
    {
        route_api_fixture fixture;
        fixture.configure();
        std::string sent;
        fixture.addEndpoint([&](std::shared_ptr<raw_peer> caller) -> asio::awaitable<void> {
            sent = co_await caller->readUntil("{}");
            co_await caller->send(sealedStream + numberedEvent(5) + lastChunk);
        });
        fixture.ask("/chat/x", "Chervilbend-Relay-Attempts: 1\r\nChervilbend-Relay-Software: v9\r\nLast-Event-Id: 4\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), fixture.director.submitted.at(0).softwareVersion.value());
        CPPUNIT_ASSERT_MESSAGE(sent, !contains(sent, "Relay"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_relay_test);
