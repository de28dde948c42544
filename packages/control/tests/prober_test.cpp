#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/control/demand_codec.hpp>
#include <chervilbend/control/demand_reporter.hpp>
#include <chervilbend/control/gossip_codec.hpp>
#include <chervilbend/control/prober.hpp>
#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <json/writer.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

using namespace chervilbend;

namespace
{

struct network_node;

/// Connects nodes within this process, and counts messages and bytes per sender and receiver.
class fake_network
{
public:
    std::map<net::address, network_node *> nodes;
    std::function<bool(const net::address &, const net::address &)> connected = [](const auto &, const auto &) {
        return true;
    };
    std::map<net::address, std::int64_t> messages;
    std::map<net::address, std::int64_t> bytes;

    void count(const net::address &from, const net::address &to, const Json::Value &message)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        // HTTP headers, the JSON-RPC envelope and the signature take about 400 bytes.
        const auto size = static_cast<std::int64_t>(Json::writeString(builder, message).size()) + 400;
        for (const net::address &end : {from, to}) {
            ++messages[end];
            bytes[end] += size;
        }
    }
};

class fake_caller : public peers::rpc_caller
{
public:
    fake_caller(fake_network &network, net::address self)
        : m_network(network)
        , m_self(std::move(self))
    {
    }

    boost::asio::awaitable<std::optional<Json::Value>> call(net::address peer, std::string method, Json::Value parameters, base::milliseconds timeout) override;

private:
    fake_network &m_network;
    net::address m_self;
};

class fixed_demand : public control::demand_source
{
public:
    membership::demand_by_item demand() const override
    {
        return {{base::item_id("m0@1"), 0.5}};
    }
};

membership::member memberAt(int index)
{
    membership::member known;
    known.id = base::node_id(std::string("node-").append(std::to_string(index)));
    known.incarnation = base::incarnation(1'764'800'000'000 + index);
    known.address = std::string("127.0.0.1:").append(std::to_string(1'000 + index));
    known.zone = base::zone_id(std::string("zone-").append(std::to_string(index % 5)));
    return known;
}

struct network_node {
    network_node(boost::asio::io_context &context, fake_network &network, int index)
        : where(*net::parseAddress(memberAt(index).address))
        , caller(network, where)
        , members(memberAt(index), {}, static_cast<std::uint64_t>(index))
        , tree(memberAt(index).id)
        , prober(context.get_executor(), members, caller)
        , reporter(state, members, tree, demand, caller)
    {
        for (const auto &method : prober.methods()) {
            methods[method->name()] = method;
        }
        methods[reporter.method()->name()] = reporter.method();
        network.nodes[where] = this;
    }

    net::address where;
    fake_caller caller;
    membership::member_table members;
    state::replicated_state state;
    membership::demand_tree tree;
    fixed_demand demand;
    control::prober prober;
    control::demand_reporter reporter;
    std::map<std::string, std::shared_ptr<peers::rpc_method>> methods;
};

boost::asio::awaitable<std::optional<Json::Value>> fake_caller::call(net::address peer, std::string method, Json::Value parameters, base::milliseconds timeout)
{
    m_network.count(m_self, peer, parameters);
    const auto node = m_network.nodes.find(peer);
    if (node == m_network.nodes.end() || !m_network.connected(m_self, peer)) {
        co_await net::sleepFor(timeout);
        co_return fail(base::error_kind::peerUnavailable, "timed out");
    }
    co_await net::sleepFor(base::milliseconds(10));
    std::optional<Json::Value> answer = node->second->methods.at(method)->call(parameters);
    m_network.count(peer, m_self, answer ? *answer : Json::Value());
    co_return answer;
}

/// Nodes that run their tasks in virtual time.
struct network_fixture {
    explicit network_fixture(int size, int models = 0)
        : context(std::make_unique<boost::asio::io_context>())
        , time(*context)
    {
        std::vector<state::entry> entries{
            state::lease_entry{state::plannerLease(), base::log_offset(0), state::lease_action::acquire, memberAt(0).id, base::incarnation(1)}};
        state::publish_entry publish;
        publish.publishId.assign(1, 'p');
        publish.declaration.service = base::service_id("s");
        for (int i = 0; i < models; ++i) {
            publish.declaration.models.push_back({std::string("m").append(std::to_string(i)), "1", {}, {}, 1, 50, {}});
        }
        entries.emplace_back(publish);
        std::vector<membership::member> listed;
        for (int i = 0; i < size; ++i) {
            listed.push_back(memberAt(i));
            nodes.push_back(std::make_unique<network_node>(*context, network, i));
        }
        for (const auto &node : nodes) {
            node->state.apply(base::log_offset(1), state::encodeRecord(entries));
            node->members.setListedMembers(listed);
            boost::asio::co_spawn(*context, node->prober.run(), boost::asio::detached);
            boost::asio::co_spawn(*context, node->reporter.run(), boost::asio::detached);
        }
    }

    ~network_fixture()
    {
        context.reset();
    }

    std::unique_ptr<boost::asio::io_context> context;
    fakes::virtual_time time;
    fake_network network;
    std::vector<std::unique_ptr<network_node>> nodes;
};

} // namespace

/// Guards against per-node costs that grow with the cluster size, wrong member states, and messages that lose content in encoding.
class prober_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prober_test);
    CPPUNIT_TEST(costPerNodeDoesNotGrow);
    CPPUNIT_TEST(probesIndirectlyAroundABrokenLink);
    CPPUNIT_TEST(broadcastsSuspicionsInItsZone);
    CPPUNIT_TEST(announcesLeavingToAllEligibleHolders);
    CPPUNIT_TEST(codecsRoundTripAndRejectMalformedMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    void costPerNodeDoesNotGrow()
    {
        constexpr int seconds = 30;
        for (const int size : {9, 64, 370}) {
            network_fixture net(size, 230);
            net.time.advance(base::milliseconds(12'000), base::milliseconds(20));
            net.network.messages.clear();
            net.network.bytes.clear();
            net.time.advance(base::milliseconds(1'000 * seconds), base::milliseconds(20));
            std::int64_t maxMessages = 0;
            std::int64_t maxBytes = 0;
            for (const auto &node : net.nodes) {
                maxMessages = std::max(maxMessages, net.network.messages[node->where]);
                maxBytes = std::max(maxBytes, net.network.bytes[node->where]);
            }
            const std::string label = std::to_string(size) + " nodes: " + std::to_string(maxMessages) + " messages, " + std::to_string(maxBytes) + " bytes";
            // Per second one probe sent and one received on average, up to 4 received on the most probed node; every 2 s the reports of 8 children
            // and one to the parent. Each message has an answer.
            CPPUNIT_ASSERT_MESSAGE(label, maxMessages <= seconds * 2 * (1 + 4) + seconds / 2 * 2 * 9);
            // The design page limits control plane traffic to 10 KB/s in each direction; the counter includes both.
            CPPUNIT_ASSERT_MESSAGE(label, maxBytes <= std::int64_t(20'000) * seconds);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5 * size, net.nodes[0]->tree.sum().at(base::item_id("m0@1")), 1e-3 * size);
        }
    }

    void probesIndirectlyAroundABrokenLink()
    {
        network_fixture net(9);
        net.network.connected = [&](const auto &from, const auto &to) {
            return from.port + to.port != 2'001;
        };
        net.time.advance(base::milliseconds(60'000));
        for (const auto &node : net.nodes) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), node->members.stateChanges());
        }
        net.network.connected = [&](const auto &from, const auto &to) {
            return from.port != 1'000 && to.port != 1'000;
        };
        net.time.advance(base::milliseconds(40'000));
        for (std::size_t i = 1; i < net.nodes.size(); ++i) {
            CPPUNIT_ASSERT(net.nodes[i]->members.find(memberAt(0).id)->state == membership::member_state::dead);
        }
    }

    void broadcastsSuspicionsInItsZone()
    {
        network_fixture net(20);
        net.time.advance(base::milliseconds(2'000));
        net.nodes[0]->prober.broadcastSuspicion({99, 1});
        net.time.advance(base::milliseconds(50));
        for (const int sameZone : {5, 10, 15}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), net.nodes[static_cast<std::size_t>(sameZone)]->members.crashSuspicions().size());
        }
    }

    /// Guards against leases being handed to a node that is about to stop, by holders that no probe has notified yet.
    void announcesLeavingToAllEligibleHolders()
    {
        network_fixture net(9);
        net.time.advance(base::milliseconds(12'000));
        const auto isEligible = [&net](std::size_t node) {
            const std::vector<base::node_id> holders = net.nodes[node]->members.eligibleHolders();
            return std::find(holders.begin(), holders.end(), memberAt(0).id) != holders.end();
        };
        CPPUNIT_ASSERT(isEligible(1));
        bool announced = false;
        // One of the other nodes does not answer; the announcement must complete nevertheless.
        net.network.connected = [](const auto &, const auto &to) {
            return to.port != 1'008;
        };
        boost::asio::co_spawn(*net.context, net.nodes[0]->prober.announceLeaving(), [&announced](const std::exception_ptr &) { announced = true; });
        net.time.advance(base::milliseconds(30));
        for (std::size_t i = 1; i < 8; ++i) {
            CPPUNIT_ASSERT(!isEligible(i));
        }
        net.time.advance(base::milliseconds(500));
        CPPUNIT_ASSERT(announced);
    }

    void codecsRoundTripAndRejectMalformedMessages()
    {
        membership::gossip message;
        message.sender = memberAt(3);
        message.updates = {memberAt(1), memberAt(2)};
        message.updates[1].state = membership::member_state::dead;
        message.updates[1].draining = true;
        message.crashSuspicions = {{0xFFFFFFFFFFFFFFFFU, 2}};
        const auto copy = control::decodeGossip(control::encodeGossip(message));
        CPPUNIT_ASSERT(copy && copy->sender == message.sender && copy->updates == message.updates && copy->crashSuspicions == message.crashSuspicions);
        Json::Value damaged = control::encodeGossip(message);
        damaged["members"][0][5] = 7;
        CPPUNIT_ASSERT(!control::decodeGossip(damaged));
        CPPUNIT_ASSERT(!control::decodeGossip(Json::Value("text")));

        const std::vector<base::item_id> models{base::item_id("a@1"), base::item_id("b@1")};
        const Json::Value demand = control::encodeDemand({{models[1], 2.5}}, models);
        CPPUNIT_ASSERT(control::decodeDemand(demand, models) == (membership::demand_by_item{{models[1], 2.5}}));
        CPPUNIT_ASSERT_MESSAGE("other declarations", !control::decodeDemand(demand, {models[0]}));
        Json::Value broken = demand;
        broken["demand"] = std::string(8, 'f');
        CPPUNIT_ASSERT_MESSAGE("not a number", !control::decodeDemand(broken, models));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prober_test);
