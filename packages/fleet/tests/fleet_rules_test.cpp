#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fleet/adapter_policy.hpp>
#include <chervilbend/fleet/exchange_json.hpp>
#include <chervilbend/fleet/known_residency.hpp>
#include <chervilbend/fleet/route_table.hpp>
#include <chervilbend/fleet/usage_meter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include <memory>

using namespace chervilbend;
using namespace chervilbend::fleet;

namespace
{

const base::service_id chat("chat");

route_rule routeOf(const std::string &prefix, std::vector<traffic_share> shares = {{chat, 1}})
{
    route_rule route;
    route.name = prefix;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.shares = std::move(shares);
    return route;
}

endpoint_change engineOf(const std::string &id, std::vector<resident_model> models, std::int64_t startedAt = 1)
{
    endpoint_change change;
    change.id = base::endpoint_id(id);
    change.entry.emplace();
    change.entry->id = change.id;
    change.entry->service = chat;
    change.entry->startedAt = startedAt;
    change.entry->models = std::move(models);
    return change;
}

} // namespace

/// Guards against requests on the wrong route and nodes that disagree with the holder about what an engine holds.
class fleet_rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_rules_test);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(trafficSplitsByWeightAndIsStablePerKey);
    CPPUNIT_TEST(holderUpdatesOverrideRegistrations);
    CPPUNIT_TEST(refusedItemsAreExcludedTemporarily);
    CPPUNIT_TEST(messagesRoundTripThroughJson);
    CPPUNIT_TEST(adaptersSpreadAndUsedOnesAreKept);
    CPPUNIT_TEST(meterCountsOpenRequests);
    CPPUNIT_TEST_SUITE_END();

    /// Created per test, because CppUnit constructs all fixtures before it runs the first test.
    std::optional<base::manual_time_source> m_time;

public:
    void setUp() override
    {
        m_time.emplace();
    }

    void tearDown() override
    {
        m_time.reset();
    }

    void longestPrefixWins()
    {
        auto configuration = std::make_shared<traffic_configuration>();
        configuration->routes = {routeOf("/a/"), routeOf("/a/b/"), routeOf("/")};
        const route_table table(configuration);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), table.find("h.example", "/a/b/c")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), table.find("h.example", "/a/bc")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("/"), table.find("h.example", "/x")->name);
        CPPUNIT_ASSERT(table.find("other.example", "/a/b/c") == nullptr && table.find("h.example", "") == nullptr);
    }

    void trafficSplitsByWeightAndIsStablePerKey()
    {
        const route_rule route = routeOf("/a/", {{base::service_id("x"), 90}, {base::service_id("y"), 10}, {base::service_id("z"), 0}});
        int toY = 0;
        for (int i = 0; i < 2'000; ++i) {
            const std::string key = "attempt-" + std::to_string(i);
            const base::service_id chosen = *chooseService(route, key);
            CPPUNIT_ASSERT(chosen == *chooseService(route, key) && chosen.value() != "z");
            toY += chosen.value() == "y" ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toY), toY > 140 && toY < 260);
        CPPUNIT_ASSERT(chooseService(routeOf("/a/", {}), "k") == nullptr);
    }

    void holderUpdatesOverrideRegistrations()
    {
        endpoint_registry registry;
        known_residency residency(registry);
        registry.apply({engineOf("i-1", {{"tall", {}}})}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT(residency.isHeld({chat, "tall", ""}) && !residency.isHeld({chat, "tall", "a1"}));
        residency.apply({{base::endpoint_id("i-1"), 1, 7, 3, {{"tall", {"a1"}}}}});
        CPPUNIT_ASSERT(residency.isHeld({chat, "tall", "a1"}));
        CPPUNIT_ASSERT_MESSAGE("older updates are ignored", residency.apply({{base::endpoint_id("i-1"), 1, 7, 2, {}}}).empty());
        registry.apply({engineOf("i-1", {}, 2)}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT_MESSAGE("updates of an earlier process are ignored", !residency.isHeld({chat, "tall", ""}));
        registry.apply({engineOf("i-2", {{"tall", {}}})}, base::clock::now(), base::clock::now());
        residency.apply({{base::endpoint_id("i-2"), 1, 7, 4, {}}});
        residency.discardUpdates();
        CPPUNIT_ASSERT_MESSAGE("without a holder the registrations are used", residency.isHeld({chat, "tall", ""}));
    }

    void refusedItemsAreExcludedTemporarily()
    {
        endpoint_registry registry;
        known_residency residency(registry);
        registry.apply({engineOf("i-1", {{"tall", {"a1"}}})}, base::clock::now(), base::clock::now());
        residency.noteMissing(base::endpoint_id("i-1"), "tall", "a1");
        CPPUNIT_ASSERT(!residency.isHeld({chat, "tall", "a1"}) && residency.isHeld({chat, "tall", ""}));
        m_time->advance(base::milliseconds(1'000));
        CPPUNIT_ASSERT(residency.isHeld({chat, "tall", "a1"}));
    }

    void messagesRoundTripThroughJson()
    {
        node_report report;
        report.node = base::node_id("n-1");
        report.open = {{"chat/tall", 3}};
        report.used = {"chat/tall/a1"};
        report.token = 5;
        report.version = 6;
        const auto readReport = readNodeReport(toJson(report));
        CPPUNIT_ASSERT(readReport && readReport->open == report.open && readReport->used == report.used && readReport->version == 6);
        holder_response answer;
        answer.lease = {base::node_id("n-2"), 9, "10.0.0.1:7380", 5, 2, false};
        answer.offset = 11;
        answer.age = base::milliseconds(40);
        answer.nodes = 6;
        answer.updates = {{base::endpoint_id("i-1"), 1, 5, 6, {{"tall", {"a1"}}}}};
        const auto readAnswer = readHolderResponse(toJson(answer));
        CPPUNIT_ASSERT(readAnswer && readAnswer->lease == answer.lease && readAnswer->offset == 11 && readAnswer->nodes == 6);
        CPPUNIT_ASSERT(readAnswer->updates.at(0).models == answer.updates.at(0).models && readAnswer->updates.at(0).version == 6);
        CPPUNIT_ASSERT(!readNodeReport(Json::Value("x")) && !readHolderResponse(Json::Value(Json::objectValue)) && !readRequestedItem(Json::Value()));
    }

    void adaptersSpreadAndUsedOnesAreKept()
    {
        service_rule service;
        service.id = chat;
        service.engine.emplace();
        service.engine->memoryMb = 100;
        service.engine->adapterSlots = 1;
        service.engine->models.push_back({"tall", 10, {}, {}, {}, 4, 1});
        endpoint_registry registry;
        registry.apply({engineOf("i-1", {{"tall", {"a1"}}}), engineOf("i-2", {{"tall", {}}})}, base::clock::now(), base::clock::now());
        engine_inventory inventory;
        for (const auto &[id, known] : registry.endpoints()) {
            inventory.sync(known);
        }
        m_time->advance(base::milliseconds(10'000));
        const auto free = placeAdapter(inventory, service, "tall");
        CPPUNIT_ASSERT(free && free->engine.value() == "i-2" && !free->victim);
        CPPUNIT_ASSERT(inventory.startLoad(base::endpoint_id("i-2"), *service.engine, "tall", "a2"));
        const auto full = placeAdapter(inventory, service, "tall");
        CPPUNIT_ASSERT(full && full->engine.value() == "i-1" && full->victim->second == "a1");
        inventory.recordUse(base::endpoint_id("i-1"), "tall", "a1", base::clock::now());
        CPPUNIT_ASSERT_MESSAGE("an adapter in use is not evicted", !placeAdapter(inventory, service, "tall"));
        CPPUNIT_ASSERT(!placeAdapter(inventory, service, "wide"));
        CPPUNIT_ASSERT_MESSAGE("one slot holds one adapter", !inventory.startLoad(base::endpoint_id("i-2"), *service.engine, "tall", "a3"));
    }

    void meterCountsOpenRequests()
    {
        usage_meter meter;
        {
            const usage_meter::registration first(meter, {chat, "tall", "a1"});
            const usage_meter::registration second(meter, {chat, "tall", ""});
            CPPUNIT_ASSERT(meter.open().at("chat/tall") == 2 && meter.open().at("chat/tall/a1") == 1);
        }
        CPPUNIT_ASSERT(meter.open().empty());
        CPPUNIT_ASSERT(meter.takeUsed() == std::vector<std::string>{"chat/tall/a1"} && meter.takeUsed().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_rules_test);
