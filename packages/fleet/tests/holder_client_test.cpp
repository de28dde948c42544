#include "fake_engines.hpp"
#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/engine_controller.hpp>
#include <chervilbend/fleet/exchange_json.hpp>
#include <chervilbend/fleet/exchange_methods.hpp>
#include <chervilbend/fleet/holder_client.hpp>
#include <chervilbend/fleet/known_residency.hpp>
#include <chervilbend/fleet/prompt_evidence_json.hpp>
#include <chervilbend/fleet/rate_limit_exchange.hpp>
#include <chervilbend/fleet/rate_limit_json.hpp>
#include <chervilbend/fleet/rate_limit_method.hpp>
#include <chervilbend/fleet/report_pacer.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/fleet/usage_meter.hpp>
#include <chervilbend/peers/rpc_caller.hpp>
#include <chervilbend/routing/cluster_knowledge.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

/// A holder that answers every report, or none in time.
class fake_holder : public peers::rpc_caller
{
public:
    asio::awaitable<std::optional<Json::Value>> call(net::address /*peer*/, std::string method, Json::Value parameters, base::milliseconds timeout) override
    {
        ++calls;
        if (method == rateLimitMethodName) {
            ++grantCalls;
            const routing::rate_limit_report report = readRateLimitReport(parameters).value();
            co_await net::sleepFor(base::milliseconds(4));
            co_return toJson(allocator.answer(report, false));
        }
        const bool isReport = method == exchangeMethodName;
        lastEvidence = readPromptEvidence(isReport ? parameters["prompts"] : parameters).value();
        if (!isAnswering) {
            co_await net::sleepFor(timeout);
            co_return fail(base::error_kind::peerUnavailable, "no answer in time");
        }
        co_await net::sleepFor(base::milliseconds(4));
        tracker.merge(lastEvidence);
        if (!isReport) {
            co_return toJson(tracker.responseTo(lastEvidence));
        }
        holder_response answer;
        answer.prompts = tracker.responseTo(lastEvidence);
        lastReport = readNodeReport(parameters).value();
        answer.rateLimits = allocator.answer(lastReport.rateLimits, true);
        answer.leaving = leaving;
        answer.unreachable = unreachable;
        answer.lease.holder = base::node_id("holder");
        answer.lease.peerAddress = "127.0.0.1:1";
        answer.lease.token = 7;
        answer.reportInterval = reportInterval;
        co_return toJson(answer);
    }

    bool isAnswering = true;
    base::milliseconds reportInterval = report_pacer::shortestInterval;
    int calls = 0;
    routing::prompt_evidence lastEvidence;
    routing::prompt_part_tracker tracker;
    int grantCalls = 0;
    node_report lastReport;
    routing::rate_limit_allocator allocator{11};
    std::vector<routing::endpoint_process> leaving;
    std::vector<routing::endpoint_process> unreachable;
};

/// A node that reports to a fake holder.
struct reporting_node {
    reporting_node()
    {
        asio::co_spawn(context, client.run(), asio::detached);
        asio::co_spawn(context, rateLimits.run(), asio::detached);
    }

    /// Calls to the holder within @p ms, throughout which its lease is valid.
    int callsWithin(int ms)
    {
        const int before = holder.calls;
        constexpr int stepMs = 100;
        for (int done = 0; done < ms; done += stepMs) {
            lease_record record;
            record.holder = base::node_id("holder");
            record.peerAddress = "127.0.0.1:1";
            record.token = 7;
            lease.noteHolder(record, ++offset, base::milliseconds(0));
            time.advance(base::milliseconds(stepMs));
        }
        return holder.calls - before;
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::store_content content;
    test::memory_store store{content};
    endpoint_registry registry;
    endpoint_follower endpoints{store, registry, base::milliseconds(800), 1};
    configuration_follower configuration{store, 2};
    store_relay relay{registry, endpoints, configuration};
    known_residency residency{registry};
    usage_meter usage;
    command_lease lease{store, {}};
    std::map<std::string, test::fake_engine> fakeEngines;
    test::fake_engines engines{context.get_executor(), fakeEngines, engine_rule{}, 1};
    engine_controller controller{context.get_executor(), engines, lease, registry, [] {
                                     return nullptr;
                                 }};
    fake_holder holder;
    routing::cluster_knowledge knowledge;
    routing::prompt_part_tracker &prompts = *knowledge.promptParts;
    rate_limit_exchange rateLimits{base::node_id("a"), 1, lease, holder, *knowledge.rateLimits, *knowledge.quotas};
    holder_client client{base::node_id("a"), lease, controller, holder, residency, usage, relay, knowledge, rateLimits};
    std::int64_t offset = 0;
};

} // namespace

/// Guards against nodes whose reports keep a holder overloaded that has too little processor time for them.
class holder_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holder_client_test);
    CPPUNIT_TEST(reportsAtTheHoldersInterval);
    CPPUNIT_TEST(reportsLessOftenToASilentHolder);
    CPPUNIT_TEST(lateEventLoopLengthensTheInterval);
    CPPUNIT_TEST(newHolderIsReportedToSoon);
    CPPUNIT_TEST(lostEndpointIsReportedAtOnce);
    CPPUNIT_TEST(refusedPartIsLearnedFromTheHolder);
    CPPUNIT_TEST(lossesAreSharedAfterTheEndOfTheLease);
    CPPUNIT_TEST(lossesOfAnsweredPartsAreSharedAfterTheEndOfTheLease);
    CPPUNIT_TEST(unansweredReportIsRepeated);
    CPPUNIT_TEST(malformedEvidenceIsRejected);
    CPPUNIT_TEST(evidenceSurvivesTheMessage);
    CPPUNIT_TEST(messagesOfTheVersionBeforeAreRead);
    CPPUNIT_TEST(leavingEndpointsAreShared);
    CPPUNIT_TEST(unreachableEndpointsAreShared);
    CPPUNIT_TEST(malformedUnreachableMemberIsIgnored);
    CPPUNIT_TEST(holderTakesPartInItsOwnDecision);
    CPPUNIT_TEST(grantsComeWithTheExchange);
    CPPUNIT_TEST(waitingRequestIsAskedForAtOnce);
    CPPUNIT_TEST(lastHolderGrantsAfterTheEndOfTheLease);
    CPPUNIT_TEST(requestWhoseCallerLeavesHoldsUpNoOther);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against later requests for an item that wait for one which ended with its caller.
    void requestWhoseCallerLeavesHoldsUpNoOther()
    {
        reporting_node node;
        asio::co_spawn(node.context, node.lease.run(), asio::detached);
        node.time.advance(base::milliseconds(10'000));
        CPPUNIT_ASSERT(node.lease.isHolder());
        const requested_item item{base::service_id("chat"), "tall", "adapter"};
        asio::cancellation_signal leave;
        asio::co_spawn(node.context,
                       node.client.ensureLoaded(item, base::clock::now() + base::milliseconds(5'000)),
                       asio::bind_cancellation_slot(leave.slot(), [](const std::exception_ptr &, bool) {}));
        node.time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), node.client.pendingRequests());
        leave.emit(asio::cancellation_type::terminal);
        node.time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), node.client.pendingRequests());
    }

    void reportsAtTheHoldersInterval()
    {
        reporting_node node;
        CPPUNIT_ASSERT(node.callsWithin(10'000) >= 35);
        node.holder.reportInterval = base::milliseconds(1'000);
        node.callsWithin(1'000);
        CPPUNIT_ASSERT(node.callsWithin(10'000) <= 11);
    }

    void reportsLessOftenToASilentHolder()
    {
        reporting_node node;
        node.callsWithin(2'000);
        node.holder.isAnswering = false;
        node.callsWithin(3'000);
        CPPUNIT_ASSERT(node.callsWithin(17'000) <= 10);
        node.holder.isAnswering = true;
        node.callsWithin(2'000);
        CPPUNIT_ASSERT_MESSAGE("back at the usual interval", node.callsWithin(10'000) >= 35);
    }

    void lateEventLoopLengthensTheInterval()
    {
        asio::io_context context;
        fakes::virtual_time time(context);
        report_pacer pacer;
        const auto measure = [&](base::milliseconds lag) {
            for (int i = 0; i < 100; ++i) {
                time.advance(base::milliseconds(50));
                pacer.measure(lag);
            }
        };
        measure(base::milliseconds(10));
        CPPUNIT_ASSERT(pacer.interval() == report_pacer::shortestInterval);
        measure(base::milliseconds(120));
        CPPUNIT_ASSERT(pacer.interval() == report_pacer::longestInterval);
        measure(base::milliseconds(10));
        measure(base::milliseconds(10));
        CPPUNIT_ASSERT(pacer.interval() == report_pacer::shortestInterval);
    }

    /// Guards against nodes that miss the first second of a new holder, which decides by their reports.
    void newHolderIsReportedToSoon()
    {
        for (int withoutHolderMs = 6'000; withoutHolderMs < 7'000; withoutHolderMs += 100) {
            reporting_node node;
            node.callsWithin(1'000);
            node.time.advance(base::milliseconds(withoutHolderMs));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(withoutHolderMs), node.callsWithin(400) >= 1);
        }
    }

    /// Guards against endpoints that crash while the nodes wait for their next report.
    void lostEndpointIsReportedAtOnce()
    {
        reporting_node node;
        node.holder.reportInterval = report_pacer::longestInterval;
        node.callsWithin(3'000);
        node.prompts.recordLoss({crashingPart}, 1);
        node.callsWithin(200);
        CPPUNIT_ASSERT(node.holder.lastEvidence.losses.contains(crashingPart));
    }

    void refusedPartIsLearnedFromTheHolder()
    {
        reporting_node node;
        node.callsWithin(1'000);
        recordLosses(node.holder.tracker);
        node.callsWithin(500);
        CPPUNIT_ASSERT(node.prompts.refusedPart({crashingPart}));
    }

    /// Guards against nodes that each repeat the crashes while the store is away, when no lease can be renewed.
    void lossesAreSharedAfterTheEndOfTheLease()
    {
        reporting_node node;
        node.callsWithin(1'000);
        node.time.advance(base::milliseconds(10'000));
        recordLosses(node.holder.tracker);
        node.prompts.recordLoss({crashingPart}, 100);
        node.time.advance(base::milliseconds(1'000));
        CPPUNIT_ASSERT(node.prompts.refusedPart({crashingPart}));
    }

    /// Guards against a node that keeps to itself the losses of a part that endpoints have answered before.
    void lossesOfAnsweredPartsAreSharedAfterTheEndOfTheLease()
    {
        reporting_node node;
        node.callsWithin(1'000);
        node.time.advance(base::milliseconds(10'000));
        node.prompts.recordAnswer({crashingPart});
        node.prompts.recordLoss({crashingPart}, 100);
        node.time.advance(base::milliseconds(1'000));
        CPPUNIT_ASSERT(node.holder.lastEvidence.lost.contains(crashingPart));
    }

    /// Guards against a sound part that stays suspected because the report of its answer was lost.
    void unansweredReportIsRepeated()
    {
        reporting_node node;
        node.callsWithin(1'000);
        node.holder.isAnswering = false;
        node.prompts.recordAnswer({crashingPart});
        node.callsWithin(3'000);
        recordLosses(node.holder.tracker);
        node.holder.isAnswering = true;
        node.callsWithin(2'500);
        CPPUNIT_ASSERT(!node.holder.tracker.refusedPart({crashingPart}));
    }

    void malformedEvidenceIsRejected()
    {
        routing::prompt_part_tracker tracker;
        tracker.recordAnswer({1});
        recordLosses(tracker);
        const Json::Value valid = toJson(tracker.takeNews());
        const std::optional<routing::prompt_evidence> read = readPromptEvidence(valid);
        CPPUNIT_ASSERT(read && read->answered.size() == 1 && read->losses.at(crashingPart).size() == routing::prompt_part_tracker::lossesToRefuse);
        for (const char *name : {"answered", "losses", "wanted", "trials"}) {
            Json::Value missing = valid;
            missing.removeMember(name);
            CPPUNIT_ASSERT_MESSAGE(name, !readPromptEvidence(missing));
            Json::Value wrong = valid;
            wrong[name] = "text";
            CPPUNIT_ASSERT_MESSAGE(name, !readPromptEvidence(wrong));
        }
        Json::Value wrong = valid;
        wrong["losses"]["no number"] = Json::Value(Json::arrayValue);
        CPPUNIT_ASSERT(!readPromptEvidence(wrong));
        // Nodes of earlier versions do not send these.
        for (const char *name : {"lasted", "lost"}) {
            Json::Value missing = valid;
            missing.removeMember(name);
            CPPUNIT_ASSERT_MESSAGE(name, readPromptEvidence(missing));
            Json::Value malformed = valid;
            malformed[name] = "text";
            CPPUNIT_ASSERT_MESSAGE(name, !readPromptEvidence(malformed));
        }
        const std::string part = std::to_string(crashingPart);
        for (const char *name : {"processes", "service", "answered", "otherAnswer"}) {
            Json::Value malformed = valid;
            malformed["lost"][part][name] = "text";
            CPPUNIT_ASSERT_MESSAGE(name, !readPromptEvidence(malformed));
        }
    }

    /// Guards against evidence that a node weighs otherwise than the one that has sent it.
    void evidenceSurvivesTheMessage()
    {
        routing::prompt_evidence sent;
        sent.answered[1] = base::milliseconds(5);
        sent.lasted[2] = base::milliseconds(70);
        sent.lost[crashingPart] = {{{11, base::milliseconds(300)}, {12, base::milliseconds(0)}}, 7, base::milliseconds(150), true};
        sent.lost[2] = {{{13, base::milliseconds(1)}}, 0, std::nullopt, false};
        const std::optional<routing::prompt_evidence> read = readPromptEvidence(toJson(sent));
        CPPUNIT_ASSERT(read && read->answered == sent.answered && read->lasted == sent.lasted && read->lost == sent.lost);
        CPPUNIT_ASSERT(!readPromptEvidence(Json::Value(7)));
    }

    /// Guards against nodes that cannot talk to each other during a rolling upgrade.
    void messagesOfTheVersionBeforeAreRead()
    {
        node_report report;
        report.node = base::node_id("a");
        Json::Value oldReport = toJson(report);
        oldReport.removeMember("prompts");
        CPPUNIT_ASSERT(readNodeReport(oldReport));
        Json::Value oldResponse = toJson(holder_response{});
        oldResponse.removeMember("prompts");
        oldResponse.removeMember("intervalMs");
        const std::optional<holder_response> response = readHolderResponse(oldResponse);
        CPPUNIT_ASSERT(response && response->reportInterval == report_pacer::shortestInterval);
        for (const char *member : {"limits", "leaving"}) {
            oldReport.removeMember(member);
            oldResponse.removeMember(member);
        }
        CPPUNIT_ASSERT(readNodeReport(oldReport));
        CPPUNIT_ASSERT(readHolderResponse(oldResponse));
        oldReport["prompts"] = "text";
        CPPUNIT_ASSERT(!readNodeReport(oldReport));
    }

    void leavingEndpointsAreShared()
    {
        reporting_node node;
        node.knowledge.leaving->note(m_process);
        const routing::endpoint_process other{base::endpoint_id("i-2"), 4};
        node.holder.leaving = {other};
        node.callsWithin(1'000);
        CPPUNIT_ASSERT(node.holder.lastReport.leaving.size() == 2);
        CPPUNIT_ASSERT(node.knowledge.leaving->contains(other));
    }

    void unreachableEndpointsAreShared()
    {
        reporting_node node;
        node.knowledge.unreachable->noteRefusedConnection(m_process);
        const routing::endpoint_process other{base::endpoint_id("i-2"), 4};
        node.holder.unreachable = {other};
        node.callsWithin(1'000);
        CPPUNIT_ASSERT(node.holder.lastReport.unreachable == std::vector{m_process});
        CPPUNIT_ASSERT(node.knowledge.unreachable->isReported(other));
        node.holder.unreachable.clear();
        node.callsWithin(500);
        CPPUNIT_ASSERT(!node.knowledge.unreachable->isReported(other));
    }

    /// Guards against nodes that cannot talk to each other because of a member that one of them does not have, or has in another form.
    void malformedUnreachableMemberIsIgnored()
    {
        node_report report;
        report.node = base::node_id("a");
        CPPUNIT_ASSERT_MESSAGE("the usual report has no such member", !toJson(report).isMember("unreachable"));
        for (int i = 0; i < 100; ++i) {
            report.unreachable.push_back({base::endpoint_id(std::string("i-").append(std::to_string(i))), i});
        }
        Json::Value json = toJson(report);
        CPPUNIT_ASSERT_EQUAL(routing::unreachable_endpoints::maxListed, readNodeReport(json)->unreachable.size());
        json["unreachable"] = "text";
        CPPUNIT_ASSERT(readNodeReport(json) && readNodeReport(json)->unreachable.empty());
        Json::Value answer = toJson(holder_response{});
        CPPUNIT_ASSERT(!answer.isMember("unreachable"));
        answer["unreachable"][0]["endpoint"] = 7;
        answer["unreachable"][1]["endpoint"] = "i-1";
        answer["unreachable"][1]["born"] = 3;
        CPPUNIT_ASSERT(readHolderResponse(answer)->unreachable == std::vector{m_process});
    }

    void holderTakesPartInItsOwnDecision()
    {
        reporting_node node;
        asio::co_spawn(node.context, node.lease.run(), asio::detached);
        node.time.advance(base::milliseconds(10'000));
        CPPUNIT_ASSERT(node.lease.isHolder());
        const routing::endpoint_process other{base::endpoint_id("i-2"), 4};
        routing::unreachable_reports &reports = *node.knowledge.unreachableReports;
        reports.noteReport(base::node_id("b"), {m_process, other});
        reports.noteReport(base::node_id("c"), {other});
        node.knowledge.unreachable->noteRefusedConnection(m_process);
        node.time.advance(base::milliseconds(500));
        CPPUNIT_ASSERT(node.knowledge.unreachable->isReported(other));
        CPPUNIT_ASSERT_MESSAGE("two nodes have reported it, one of them the holder", reports.listFor(base::node_id("c")).size() == 2);
    }

    void grantsComeWithTheExchange()
    {
        reporting_node node;
        node.callsWithin(1'000);
        node.knowledge.rateLimits->noteAnswer(m_process, 2.5);
        node.knowledge.rateLimits->noteExpected(m_process, 1);
        node.knowledge.rateLimits->noteWaiting({m_process});
        CPPUNIT_ASSERT(!node.knowledge.rateLimits->maySend(m_process));
        node.callsWithin(300);
        CPPUNIT_ASSERT(node.knowledge.rateLimits->maySend(m_process));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), node.holder.allocator.limitedEndpoints());
        CPPUNIT_ASSERT_EQUAL(0, node.holder.grantCalls);
    }

    void waitingRequestIsAskedForAtOnce()
    {
        reporting_node node;
        node.holder.reportInterval = report_pacer::longestInterval;
        node.callsWithin(2'000);
        node.knowledge.rateLimits->noteAnswer(m_process, 2.5);
        node.knowledge.rateLimits->noteWaiting({m_process});
        node.knowledge.rateLimits->requestGrants();
        node.time.advance(base::milliseconds(20));
        CPPUNIT_ASSERT(node.knowledge.rateLimits->maySend(m_process));
    }

    void lastHolderGrantsAfterTheEndOfTheLease()
    {
        reporting_node node;
        node.callsWithin(1'000);
        node.time.advance(base::milliseconds(3'000));
        CPPUNIT_ASSERT(!node.lease.holder());
        node.knowledge.rateLimits->noteAnswer(m_process, 2.5);
        node.knowledge.rateLimits->noteWaiting({m_process});
        node.time.advance(base::milliseconds(300));
        CPPUNIT_ASSERT(node.knowledge.rateLimits->maySend(m_process));
    }

private:
    const routing::endpoint_process m_process{base::endpoint_id("i-1"), 3};

    static constexpr std::uint64_t crashingPart = 77;

    static void recordLosses(routing::prompt_part_tracker &tracker)
    {
        for (std::uint64_t process = 1; process <= routing::prompt_part_tracker::lossesToRefuse; ++process) {
            tracker.recordLoss({crashingPart}, process);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holder_client_test);
