#include "fake_engines.hpp"
#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/engine_controller.hpp>
#include <chervilbend/fleet/exchange_json.hpp>
#include <chervilbend/fleet/exchange_methods.hpp>
#include <chervilbend/fleet/known_residency.hpp>
#include <chervilbend/fleet/rate_limit_exchange.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/peers/rpc_caller.hpp>
#include <chervilbend/routing/cluster_knowledge.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <json/writer.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

constexpr int engineCount = 112;
constexpr int nodeCount = 83;
constexpr double linkMegabits = 10;
constexpr base::milliseconds exchangeInterval{250};
constexpr base::milliseconds readInterval{800};

std::shared_ptr<const traffic_configuration> sampleConfiguration()
{
    auto configuration = std::make_shared<traffic_configuration>();
    service_rule &service = configuration->services[base::service_id("chat")];
    service.id = base::service_id("chat");
    service.engine.emplace();
    service.engine->memoryMb = 83'000;
    service.engine->adapterSlots = 5;
    for (int i = 0; i < engineCount; ++i) {
        service.engine->models.emplace_back().name = std::string("m").append(std::to_string(i));
    }
    return configuration;
}

/// No peer can be reached.
class silent_peers : public peers::rpc_caller
{
public:
    asio::awaitable<std::optional<Json::Value>> call(net::address, std::string, Json::Value, base::milliseconds) override
    {
        co_return std::nullopt;
    }
};

std::size_t sizeOf(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value).size();
}

class store_with_registrations : public test::memory_store
{
public:
    using memory_store::memory_store;

    asio::awaitable<std::optional<endpoint_page>> allEndpoints() override
    {
        co_return co_await endpointsFrom(0);
    }

    asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t position) override
    {
        co_await net::sleepFor(delay);
        endpoint_page page;
        page.next = static_cast<std::int64_t>(registrations.size());
        page.changes.assign(registrations.begin() + position, registrations.end());
        co_return page;
    }

    std::vector<endpoint_change> registrations;
};

/// What another node has from the holder.
struct reporting_node {
    node_report report;
    std::map<base::endpoint_id, std::int64_t> engines;
    std::map<base::endpoint_id, bool> registrations;
    std::optional<int> rank;
    std::vector<routing::endpoint_process> unreachable;
};

/// The holder of the lease on a host with a thin link.
struct thin_holder {
    thin_holder()
    {
        for (int i = 0; i < engineCount; ++i) {
            store.registrations.push_back(entryOf(i, false));
        }
        endpoints.onChange([this](const std::set<base::endpoint_id> &changed) {
            relay.noteChanged(changed);
            controller.endpointsChanged(changed);
        });
        lease.onChange([this](bool isHolder) {
            relay.leaseChanged(isHolder);
            controller.leaseChanged(isHolder);
        });
        asio::co_spawn(context, lease.run(), asio::detached);
        asio::co_spawn(context, endpoints.run(), asio::detached);
        time.advance(base::milliseconds(2'000));
        CPPUNIT_ASSERT(lease.isHolder());
        for (int i = 0; i < nodeCount; ++i) {
            nodes.emplace_back().report.node = base::node_id(std::string("n").append(std::to_string(i)));
        }
    }

    static endpoint_change entryOf(int number, bool draining)
    {
        endpoint_change change;
        change.id = base::endpoint_id(std::string("i-0123456").append(std::to_string(number)));
        change.entry.emplace();
        change.entry->id = change.id;
        change.entry->service = base::service_id("chat");
        change.entry->address = {"10.128.0.9", 8080};
        change.entry->zone = base::zone_id("a");
        change.entry->slots = 12;
        change.entry->startedAt = 1'755'220'512'345;
        change.entry->draining = draining;
        change.entry->models = {{std::string("m").append(std::to_string(number)), {"a1", "a2"}}};
        return change;
    }

    /// One exchange of each node, spread over the interval. Returns the bytes of the answers.
    std::size_t exchangeOnce()
    {
        std::size_t bytes = 0;
        for (reporting_node &node : nodes) {
            const std::optional<Json::Value> answer = method.call(toJson(node.report));
            CPPUNIT_ASSERT(answer.has_value());
            bytes += sizeOf(*answer);
            apply(node, *readHolderResponse(*answer));
            time.advance(base::milliseconds(exchangeInterval / nodeCount));
        }
        return bytes;
    }

    static void apply(reporting_node &node, const holder_response &answer)
    {
        node.report.token = answer.lease.token;
        node.report.version = answer.version;
        node.rank = answer.rank;
        node.unreachable = answer.unreachable;
        for (const engine_update &update : answer.updates) {
            node.engines[update.engine] = update.version;
        }
        if (answer.store.registrationsPosition >= 0) {
            node.report.registrationsVersion = answer.store.registrationsVersion;
            for (const endpoint_change &change : answer.store.registrations) {
                node.registrations[change.id] = change.entry && change.entry->draining;
            }
        }
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::store_content content;
    store_with_registrations store{content};
    endpoint_registry registry;
    endpoint_follower endpoints{store, registry, readInterval, 1};
    configuration_follower configuration{store, 2};
    store_relay relay{registry, endpoints, configuration};
    std::shared_ptr<const traffic_configuration> rules = sampleConfiguration();
    std::map<std::string, test::fake_engine> fakeEngines;
    test::fake_engines engines{context.get_executor(), fakeEngines, *rules->services.at(base::service_id("chat")).engine, 1};
    command_lease lease{store, leaseOptions()};
    engine_controller controller{context.get_executor(), engines, lease, registry, [this] {
                                     return rules;
                                 }};
    routing::cluster_knowledge knowledge;
    routing::prompt_part_tracker &prompts = *knowledge.promptParts;
    silent_peers peers;
    rate_limit_exchange rateLimits{base::node_id("a"), 1, lease, peers, *knowledge.rateLimits, *knowledge.quotas};
    exchange_method method{lease, controller, relay, knowledge, rateLimits, linkMegabits};
    std::vector<reporting_node> nodes;

    static command_lease_options leaseOptions()
    {
        command_lease_options options;
        options.node = base::node_id("holder");
        options.incarnation = 1;
        options.peerAddress = "127.0.0.1:1";
        return options;
    }
};

} // namespace

/// Guards against a lease holder whose answers to the other nodes fill its link, so that its own calls to the store no longer succeed.
class exchange_method_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_method_test);
    CPPUNIT_TEST(fullAnswersToAllNodesLeaveRoomOnTheLink);
    CPPUNIT_TEST(answerWithoutUpdatesKeepsTheNodesVersion);
    CPPUNIT_TEST(drainingEndpointIsSentWhileTheLinkIsFull);
    CPPUNIT_TEST(lateEventLoopSendsNoUpdates);
    CPPUNIT_TEST(nodesHaveDifferentRanks);
    CPPUNIT_TEST(unreachableEndpointIsSentAfterTwoReports);
    CPPUNIT_TEST_SUITE_END();

public:
    void fullAnswersToAllNodesLeaveRoomOnTheLink()
    {
        thin_holder holder;
        constexpr double linkBytesPerSecond = linkMegabits * 1'000'000 / 8;
        constexpr int seconds = 12;
        for (int second = 0; second < seconds; ++second) {
            std::size_t bytes = 0;
            for (base::milliseconds done{0}; done < base::milliseconds(1'000); done += exchangeInterval) {
                bytes += holder.exchangeOnce();
            }
            CPPUNIT_ASSERT_MESSAGE("bytes in second " + std::to_string(second) + ": " + std::to_string(bytes),
                                   static_cast<double>(bytes) <= 0.6 * linkBytesPerSecond);
        }
        const auto hasAll = [](const reporting_node &node) {
            return node.engines.size() == engineCount;
        };
        CPPUNIT_ASSERT_MESSAGE("all nodes know all engines in the end", std::all_of(holder.nodes.begin(), holder.nodes.end(), hasAll));
    }

    void answerWithoutUpdatesKeepsTheNodesVersion()
    {
        thin_holder holder;
        holder.exchangeOnce();
        const auto hasNone = [](const reporting_node &node) {
            return node.engines.empty();
        };
        const auto starved = std::find_if(holder.nodes.begin(), holder.nodes.end(), hasNone);
        CPPUNIT_ASSERT_MESSAGE("the budget does not last for all nodes", starved != holder.nodes.end());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the node asks for everything again", std::int64_t(0), starved->report.version);
    }

    void drainingEndpointIsSentWhileTheLinkIsFull()
    {
        thin_holder holder;
        holder.exchangeOnce();
        const reporting_node &informed = holder.nodes.front();
        CPPUNIT_ASSERT_EQUAL(std::size_t(engineCount), informed.registrations.size());
        holder.store.registrations.push_back(thin_holder::entryOf(0, true));
        for (base::milliseconds done{0}; done < readInterval; done += exchangeInterval) {
            holder.exchangeOnce();
        }
        CPPUNIT_ASSERT(informed.registrations.at(thin_holder::entryOf(0, true).id));
        const auto isWaiting = [](const reporting_node &node) {
            return node.registrations.empty();
        };
        CPPUNIT_ASSERT_MESSAGE("the link is full", std::any_of(holder.nodes.begin(), holder.nodes.end(), isWaiting));
    }

    /// Nodes with the same rank would use the same slots of brittle endpoints.
    void nodesHaveDifferentRanks()
    {
        thin_holder holder;
        holder.exchangeOnce();
        holder.exchangeOnce();
        std::set<int> ranks;
        for (const reporting_node &node : holder.nodes) {
            CPPUNIT_ASSERT(node.rank && *node.rank >= 0 && *node.rank < nodeCount);
            ranks.insert(*node.rank);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(nodeCount), ranks.size());
    }

    void unreachableEndpointIsSentAfterTwoReports()
    {
        thin_holder holder;
        const routing::endpoint_process process{base::endpoint_id("i-1"), 3};
        const auto nodesToldOf = [&] {
            const auto isTold = [&](const reporting_node &node) {
                return node.unreachable == std::vector{process};
            };
            return std::count_if(holder.nodes.begin(), holder.nodes.end(), isTold);
        };
        holder.nodes[3].report.unreachable = {process};
        holder.exchangeOnce();
        holder.exchangeOnce();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), nodesToldOf());
        holder.nodes[50].report.unreachable = {process};
        holder.exchangeOnce();
        holder.exchangeOnce();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(nodeCount), nodesToldOf());
    }

    /// Guards against a holder with little processor time that spends all of it on full answers, each asked for again because it came too late.
    void lateEventLoopSendsNoUpdates()
    {
        thin_holder holder;
        constexpr int measurements = 10;
        for (int i = 0; i < measurements; ++i) {
            holder.time.advance(base::milliseconds(50));
            holder.method.noteLoopLag(base::milliseconds(200));
        }
        constexpr std::size_t bytesPerAnswer = 500;
        CPPUNIT_ASSERT(holder.exchangeOnce() <= nodeCount * bytesPerAnswer);
        for (int i = 0; i < measurements; ++i) {
            holder.time.advance(base::milliseconds(50));
            holder.method.noteLoopLag(base::milliseconds(2));
        }
        holder.exchangeOnce();
        CPPUNIT_ASSERT_EQUAL(std::size_t(engineCount), holder.nodes.front().engines.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_method_test);
