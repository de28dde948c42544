#include <chervilbend/node/operators/commands/publish_method.hpp>
#include <chervilbend/node/operators/operator_json.hpp>
#include <chervilbend/node/operators/queries/diff_method.hpp>
#include <chervilbend/node/operators/queries/history_method.hpp>
#include <chervilbend/node/operators/queries/publish_status_method.hpp>
#include <chervilbend/node/operators/queries/status_method.hpp>
#include <chervilbend/node/operators/state_operator_view.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::node;

namespace
{

constexpr std::int64_t gib = std::int64_t{1} << 30;

class fake_node_info : public node_info
{
public:
    base::node_id self() const override
    {
        return base::node_id("n1");
    }

    log_status log() const override
    {
        return {true, base::milliseconds(20), base::log_offset(9)};
    }

    std::vector<known_node> nodes() const override
    {
        return {{base::node_id("n1"), "127.0.0.1:1", base::zone_id("a"), "alive", false}};
    }
};

class fake_sink : public publish_sink
{
public:
    bool submit(state::entry entry) override
    {
        if (!isReachable) {
            fail(base::error_kind::logUnavailable, "the log service does not answer");
            return false;
        }
        entries.push_back(std::move(entry));
        return true;
    }

    bool isReachable = true;
    std::vector<state::entry> entries;
};

config::service_declaration declaration(int copies, std::int64_t size = 10)
{
    config::service_declaration result;
    result.service = base::service_id("tutor");
    config::model_declaration model;
    model.name = "writer";
    model.version = "1";
    model.weights = base::byte_count(size * gib);
    model.copies = copies;
    result.models = {model};
    return result;
}

Json::Value parameters(const std::string &publishId, int base, const config::service_declaration &declared, const std::string &author = "ana")
{
    Json::Value json(Json::objectValue);
    json["publishId"] = publishId;
    json["author"] = author;
    json["base"] = base;
    json["declaration"] = toRpcJson(declared);
    return json;
}

Json::Value objectWith(const char *name, const Json::Value &value)
{
    Json::Value json(Json::objectValue);
    json[name] = value;
    return json;
}

} // namespace

/// Guards against telling operators a wrong result of their change, such as "submitted" or "accepted" for a change that is not.
class operators_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operators_test);
    CPPUNIT_TEST(publishIsInForceAfterApplying);
    CPPUNIT_TEST(repeatedPublishIsNotSentAgain);
    CPPUNIT_TEST(rejectionNamesTheAcceptedVersion);
    CPPUNIT_TEST(staleBaseIsRefusedAtOnce);
    CPPUNIT_TEST(newerBaseIsDecidedByTheLog);
    CPPUNIT_TEST(modelsThatDoNotFitAreRefused);
    CPPUNIT_TEST(smallerNeedIsAllowedAfterMemoryLoss);
    CPPUNIT_TEST(invalidDeclarationsAreRefused);
    CPPUNIT_TEST(publishFailsWhenLogIsUnreachable);
    CPPUNIT_TEST(withdrawnServiceCanBeDeclaredAgain);
    CPPUNIT_TEST(historyAndDiff);
    CPPUNIT_TEST(laterNodeReportsUnknownChanges);
    CPPUNIT_TEST(statusShowsTheState);
    CPPUNIT_TEST_SUITE_END();

    state::replicated_state m_state;
    declaration_cache m_declarationCache;
    fake_node_info m_nodeInfo;
    fake_sink m_sink;
    state_operator_view m_view{m_state, m_declarationCache, m_nodeInfo};
    commands::publish_method m_publish{m_view, m_sink};
    queries::publish_status_method m_publishStatus{m_view};

    void applyEntry(const state::entry &item)
    {
        const std::string payload = state::encodeRecord(std::span(&item, 1));
        m_state.apply(base::log_offset(m_state.appliedOffset().count() + 1), payload);
        m_declarationCache.observe(payload);
    }

    /// Applies the entries that were submitted to the sink.
    void applySubmitted()
    {
        for (const state::entry &item : m_sink.entries) {
            applyEntry(item);
        }
        m_sink.entries.clear();
    }

    Json::Value statusOf(const std::string &publishId)
    {
        return m_publishStatus.call(objectWith("publishId", publishId)).value();
    }

    void assertRefused(const Json::Value &request, base::error_kind kind, const std::string &expected)
    {
        CPPUNIT_ASSERT(!m_publish.call(request));
        const base::reason &reason = m_publish.lastReason();
        CPPUNIT_ASSERT(reason.kind == kind);
        CPPUNIT_ASSERT_MESSAGE(reason.text + " lacks: " + expected, reason.text.find(expected) != std::string::npos);
        CPPUNIT_ASSERT(m_sink.entries.empty());
    }

public:
    void setUp() override
    {
        state::lease_entry lease;
        lease.name = state::plannerLease();
        lease.holder = base::node_id("n1");
        lease.incarnation = base::incarnation(1);
        applyEntry(lease);
        for (const char *zone : {"a", "b"}) {
            state::endpoint_entry endpoint;
            endpoint.endpoint = base::endpoint_id(std::string("e-") + zone);
            endpoint.address = "127.0.0.1:5";
            endpoint.zone = base::zone_id(zone);
            endpoint.memory = base::byte_count(40 * gib);
            endpoint.plannerToken = base::log_offset(1);
            applyEntry(endpoint);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_state.endpoints().size());
    }

    void publishIsInForceAfterApplying()
    {
        const auto answer = m_publish.call(parameters("p1", 0, declaration(1)));
        CPPUNIT_ASSERT_MESSAGE(m_publish.lastReason().text, answer);
        CPPUNIT_ASSERT_EQUAL(std::string("submitted"), (*answer)["state"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), statusOf("p1")["state"].asString());
        applySubmitted();
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), statusOf("p1")["state"].asString());
        CPPUNIT_ASSERT(statusOf("p1")["inForceHere"].asBool());
        m_publish.call(parameters("p2", 4, declaration(2)));
        applySubmitted();
        CPPUNIT_ASSERT(!statusOf("p1")["inForceHere"].asBool());
        CPPUNIT_ASSERT_EQUAL(5, statusOf("p1")["supersededBy"].asInt());
    }

    void repeatedPublishIsNotSentAgain()
    {
        m_publish.call(parameters("p1", 0, declaration(1)));
        applySubmitted();
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), (*m_publish.call(parameters("p1", 0, declaration(1))))["state"].asString());
        CPPUNIT_ASSERT(m_sink.entries.empty());
    }

    void rejectionNamesTheAcceptedVersion()
    {
        m_publish.call(parameters("p1", 0, declaration(1)));
        m_publish.call(parameters("p2", 0, declaration(2), "ben"));
        applySubmitted();
        const Json::Value status = statusOf("p2");
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), status["state"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("version 4 by ana was accepted first, this publish builds on 0"), status["why"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), status["winner"]["author"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("~ model writer: copies 1 -> 2"), status["differs"][0].asString());
        CPPUNIT_ASSERT(!status["inForceHere"].asBool());
    }

    void staleBaseIsRefusedAtOnce()
    {
        m_publish.call(parameters("p1", 0, declaration(1)));
        applySubmitted();
        assertRefused(parameters("p2", 3, declaration(2)), base::error_kind::configConflict, "version 4 by ana was accepted first");
        CPPUNIT_ASSERT(m_publish.lastReason().text.find("copies 1 -> 2") != std::string::npos);
    }

    void newerBaseIsDecidedByTheLog()
    {
        CPPUNIT_ASSERT(m_publish.call(parameters("p2", 900, declaration(2))));
        applySubmitted();
        CPPUNIT_ASSERT_EQUAL(std::string("it builds on version 900, which was not in force"), statusOf("p2")["why"].asString());
    }

    void modelsThatDoNotFitAreRefused()
    {
        assertRefused(parameters("p1", 0, declaration(3)), base::error_kind::configDoesNotFit, "no place for copy 3 of writer@1: it needs 10 GiB");
        assertRefused(parameters("p1", 0, declaration(1, 41)), base::error_kind::configDoesNotFit, "sum of all copies: 41 GiB of 80 GiB");
    }

    void smallerNeedIsAllowedAfterMemoryLoss()
    {
        m_publish.call(parameters("p1", 0, declaration(2, 30)));
        applySubmitted();
        state::endpoint_entry removal;
        removal.endpoint = base::endpoint_id("e-b");
        removal.removed = true;
        removal.plannerToken = base::log_offset(1);
        applyEntry(removal);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state.endpoints().size());
        assertRefused(parameters("p2", 4, declaration(3, 30)), base::error_kind::configDoesNotFit, "no place for copy 2");
        const auto answer = m_publish.call(parameters("p3", 4, declaration(2, 20)));
        CPPUNIT_ASSERT(answer && (*answer)["warnings"].size() == 1);
    }

    void invalidDeclarationsAreRefused()
    {
        assertRefused(parameters("p1", 0, declaration(99, 0)), base::error_kind::configInvalid, "models[0].copies: 99 is out of range");
        CPPUNIT_ASSERT(m_publish.lastReason().text.find("models[0].weights: 0 B is out of range") != std::string::npos);
        Json::Value request = parameters("p1", 0, declaration(1));
        request["declaration"]["models"] = 7;
        assertRefused(request, base::error_kind::configInvalid, "\"models\" has a wrong type");
        for (const char *missing : {"publishId", "author", "base"}) {
            request = parameters("p1", 0, declaration(1));
            request.removeMember(missing);
            assertRefused(request, base::error_kind::badRequest, "are required");
        }
        m_publish.call(parameters("p1", 0, declaration(1)));
        applySubmitted();
        config::service_declaration other = declaration(1);
        other.service = base::service_id("other");
        assertRefused(parameters("p2", 0, other), base::error_kind::configInvalid, "model \"writer\" is already declared by service \"tutor\"");
    }

    void publishFailsWhenLogIsUnreachable()
    {
        m_sink.isReachable = false;
        assertRefused(parameters("p1", 0, declaration(1)), base::error_kind::logUnavailable, "the log service does not answer");
    }

    /// Declaring a withdrawn service again builds on the version of the withdrawal. With base 0, chervilctl would derive the publish id of
    /// the first publish again.
    void withdrawnServiceCanBeDeclaredAgain()
    {
        config::service_declaration nothing = declaration(1);
        nothing.models.clear();
        m_publish.call(parameters("p1", 0, declaration(1)));
        applySubmitted();
        m_publish.call(parameters("p2", 4, nothing));
        applySubmitted();
        CPPUNIT_ASSERT(m_state.services().empty());
        CPPUNIT_ASSERT(statusOf("p2")["inForceHere"].asBool() && !statusOf("p1")["inForceHere"].asBool());
        const Json::Value status = queries::status_method(m_view).call(Json::Value(Json::objectValue)).value();
        CPPUNIT_ASSERT_EQUAL(5, status["withdrawn"][0]["version"].asInt());
        m_publish.call(parameters("p3", 5, declaration(1)));
        applySubmitted();
        CPPUNIT_ASSERT(statusOf("p3")["inForceHere"].asBool() && !statusOf("p2")["inForceHere"].asBool());
    }

    void historyAndDiff()
    {
        m_publish.call(parameters("p1", 0, declaration(1)));
        m_publish.call(parameters("p2", 0, declaration(2), "ben"));
        applySubmitted();
        m_publish.call(parameters("p3", 4, declaration(1, 12)));
        applySubmitted();
        queries::history_method history(m_view);
        const Json::Value list = history.call(objectWith("service", "tutor")).value()["publishes"];
        CPPUNIT_ASSERT_EQUAL(Json::ArrayIndex{3}, list.size());
        CPPUNIT_ASSERT_EQUAL(std::string("p3 p2 p1"),
                             list[0]["publishId"].asString() + ' ' + list[1]["publishId"].asString() + ' ' + list[2]["publishId"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("~ model writer: weights 10 GiB -> 12 GiB"), list[0]["changes"][0].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), list[1]["state"].asString());
        CPPUNIT_ASSERT(!history.call(objectWith("service", "nobody")));

        queries::diff_method diff(m_view);
        CPPUNIT_ASSERT_EQUAL(std::string("~ model writer: weights 10 GiB -> 12 GiB"), diff.call(objectWith("service", "tutor")).value()["lines"][0].asString());
        Json::Value request = objectWith("service", "tutor");
        request["to"] = 4;
        CPPUNIT_ASSERT(diff.call(request).value()["lines"][0].asString().starts_with("+ model writer"));
        request["to"] = 5;
        CPPUNIT_ASSERT(!diff.call(request));
    }

    void laterNodeReportsUnknownChanges()
    {
        m_publish.call(parameters("p1", 0, declaration(1)));
        applySubmitted();
        m_publish.call(parameters("p2", 4, declaration(2)));
        applySubmitted();
        const declaration_cache emptyCache;
        const state_operator_view view(m_state, emptyCache, m_nodeInfo);
        queries::diff_method diff(view);
        CPPUNIT_ASSERT(!diff.call(objectWith("service", "tutor")));
        CPPUNIT_ASSERT(diff.lastReason().text.find("ask another node") != std::string::npos);
        queries::history_method history(view);
        CPPUNIT_ASSERT(history.call(objectWith("service", "tutor")).value()["publishes"][0]["changes"].isNull());
    }

    void statusShowsTheState()
    {
        m_publish.call(parameters("p1", 0, declaration(1)));
        applySubmitted();
        state::assign_entry assign{base::endpoint_id("e-a"), base::item_id("writer@1"), base::byte_count(10 * gib), base::log_offset(1)};
        applyEntry(assign);
        const Json::Value status = queries::status_method(m_view).call(objectWith("declarations", true)).value();
        CPPUNIT_ASSERT_EQUAL(std::string("tutor"), status["services"][0]["declaration"]["service"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("assigned"), status["endpoints"][0]["items"][0]["state"].asString());
        CPPUNIT_ASSERT_EQUAL(Json::Int64(10 * gib), status["endpoints"][0]["reserved"].asInt64());
        CPPUNIT_ASSERT_EQUAL(std::string("planner"), status["leases"][0]["lease"].asString());
        CPPUNIT_ASSERT(status["log"]["reachable"].asBool() && status["folded"].asInt() == 5);
        CPPUNIT_ASSERT_EQUAL(std::string("alive"), status["nodes"][0]["state"].asString());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operators_test);
