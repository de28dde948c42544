#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/fleet/store_update_json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

constexpr base::milliseconds readInterval{800};
constexpr base::milliseconds exchangeInterval{250};
constexpr std::int64_t token = 7;

endpoint_change entryOf(const std::string &id, bool draining = false)
{
    endpoint_change change;
    change.id = base::endpoint_id(id);
    change.entry.emplace();
    change.entry->id = change.id;
    change.entry->service = base::service_id("chat");
    change.entry->address = {"127.0.0.1", 4000};
    change.entry->zone = base::zone_id("a");
    change.entry->slots = 8;
    change.entry->startedAt = 5;
    change.entry->draining = draining;
    change.entry->models = {{"m0", {"a1"}}};
    return change;
}

/// Registrations and configuration versions, in the order of the store.
struct topics {
    std::vector<endpoint_change> registrations;
    std::vector<std::int64_t> versions;
};

class topic_store : public test::memory_store
{
public:
    topic_store(test::store_content &lease, const topics &shared)
        : memory_store(lease)
        , m_topics(shared)
    {
    }

    asio::awaitable<std::optional<endpoint_page>> allEndpoints() override
    {
        ++snapshotReads;
        co_return co_await registrationsFrom(0);
    }

    asio::awaitable<std::optional<endpoint_page>> endpointsFrom(std::int64_t position) override
    {
        ++reads;
        co_return co_await registrationsFrom(position);
    }

    asio::awaitable<std::optional<configuration_page>> newestConfiguration() override
    {
        co_return co_await configurationFrom(0, base::milliseconds(0));
    }

    asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t position, base::milliseconds wait) override
    {
        ++configurationReads;
        const base::time_point until = base::clock::now() + wait;
        do {
            co_await net::sleepFor(delay);
        } while (!isDisconnected && static_cast<std::size_t>(position) >= m_topics.versions.size() && base::clock::now() < until);
        if (isDisconnected) {
            co_return fail(base::error_kind::logUnavailable, "disconnected");
        }
        configuration_page page;
        page.next = static_cast<std::int64_t>(m_topics.versions.size());
        if (position < page.next) {
            page.newest.emplace().version = m_topics.versions.back();
        }
        co_return page;
    }

    int snapshotReads = 0;
    int reads = 0;
    int configurationReads = 0;

private:
    asio::awaitable<std::optional<endpoint_page>> registrationsFrom(std::int64_t position)
    {
        co_await net::sleepFor(delay);
        if (isDisconnected) {
            co_return fail(base::error_kind::logUnavailable, "disconnected");
        }
        endpoint_page page;
        page.next = static_cast<std::int64_t>(m_topics.registrations.size());
        page.changes.assign(m_topics.registrations.begin() + position, m_topics.registrations.end());
        co_return page;
    }

    const topics &m_topics;
};

struct node {
    node(asio::io_context &context, test::store_content &lease, const topics &shared, bool isHolder)
        : store(lease, shared)
        , endpoints(store, registry, readInterval, isHolder ? 1 : 2)
        , configuration(store, 3)
        , relay(registry, endpoints, configuration)
    {
        endpoints.onChange([this](const std::set<base::endpoint_id> &changed) { relay.noteChanged(changed); });
        relay.leaseChanged(isHolder);
        asio::co_spawn(context, endpoints.run(), asio::detached);
        asio::co_spawn(context, configuration.run(), asio::detached);
    }

    topic_store store;
    endpoint_registry registry;
    endpoint_follower endpoints;
    configuration_follower configuration;
    store_relay relay;
};

struct node_pair {
    node_pair()
    {
        shared.registrations = {entryOf("i-1"), entryOf("i-2")};
        shared.versions = {3};
        holder = std::make_unique<node>(context, lease, shared, true);
        other = std::make_unique<node>(context, lease, shared, false);
    }

    /// Advances time, with or without the exchanges of the other node.
    void run(int ms, bool exchanges = true)
    {
        for (base::milliseconds done{0}; done < base::milliseconds(ms); done += exchangeInterval) {
            if (exchanges) {
                exchange();
            }
            time.advance(exchangeInterval);
        }
    }

    void exchange() const
    {
        const store_update update = holder->relay.updatesSince(other->relay.appliedVersion(token));
        const std::optional<store_update> read = readStoreUpdate(toJson(update));
        CPPUNIT_ASSERT_MESSAGE("the message can be read", read.has_value());
        other->relay.apply(token, *read, read_time::now());
    }

    const endpoint_registry::known_endpoint *known(const std::string &id) const
    {
        const auto found = other->registry.endpoints().find(base::endpoint_id(id));
        return found == other->registry.endpoints().end() ? nullptr : &found->second;
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::store_content lease;
    topics shared;
    std::unique_ptr<node> holder;
    std::unique_ptr<node> other;
};

} // namespace

/// Guards against store calls that grow with the number of nodes, and against nodes that rely on a holder that no longer reads the store.
class store_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_relay_test);
    CPPUNIT_TEST(relayedNodeDoesNotReadTheStore);
    CPPUNIT_TEST(drainingEndpointIsRelayedWithinTheReadInterval);
    CPPUNIT_TEST(newConfigurationIsReadAtOnce);
    CPPUNIT_TEST(nodeReadsTheStoreWhenTheHolderIsSilent);
    CPPUNIT_TEST(disconnectedHolderIsNotReliedOn);
    CPPUNIT_TEST(olderUpdateIsIgnored);
    CPPUNIT_TEST(longAbsenceCausesAFullSnapshot);
    CPPUNIT_TEST(modelsOfAKnownProcessAreKept);
    CPPUNIT_TEST(oddEntryDoesNotHideTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The whole update was dropped, and its port was cut to 16 bits.
    void oddEntryDoesNotHideTheOthers()
    {
        store_update update;
        update.registrationsPosition = 4;
        update.registrations = {entryOf("i-1"), entryOf("i-2")};
        Json::Value json = toJson(update);
        json["registrations"][0]["port"] = 70'000;
        const std::optional<store_update> read = readStoreUpdate(json);
        CPPUNIT_ASSERT(read && read->registrations.size() == 1 && read->registrations[0].id.value() == "i-2");
    }

    void relayedNodeDoesNotReadTheStore()
    {
        node_pair nodes;
        nodes.run(2'000);
        const int reads = nodes.other->store.reads + nodes.other->store.snapshotReads;
        const int configurationReads = nodes.other->store.configurationReads;
        nodes.run(20'000);
        CPPUNIT_ASSERT_EQUAL(reads, nodes.other->store.reads + nodes.other->store.snapshotReads);
        // A read that was waiting at the store when the holder's update arrived may still complete.
        CPPUNIT_ASSERT(nodes.other->store.configurationReads <= configurationReads + 1);
        CPPUNIT_ASSERT(nodes.holder->store.reads > 0);
    }

    void drainingEndpointIsRelayedWithinTheReadInterval()
    {
        node_pair nodes;
        nodes.run(3'000);
        nodes.shared.registrations.push_back(entryOf("i-1", true));
        nodes.shared.registrations.push_back({base::endpoint_id("i-2"), std::nullopt});
        nodes.run(static_cast<int>(readInterval.count()));
        CPPUNIT_ASSERT(nodes.known("i-1") != nullptr && nodes.known("i-1")->entry.draining);
        CPPUNIT_ASSERT(nodes.known("i-2") == nullptr);
    }

    void newConfigurationIsReadAtOnce()
    {
        node_pair nodes;
        nodes.run(5'000);
        nodes.shared.versions.push_back(9);
        nodes.run(750);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), nodes.other->configuration.current()->version);
    }

    void nodeReadsTheStoreWhenTheHolderIsSilent()
    {
        node_pair nodes;
        nodes.run(3'000);
        const int snapshotReads = nodes.other->store.snapshotReads;
        nodes.shared.registrations.push_back(entryOf("i-3"));
        nodes.shared.versions.push_back(9);
        nodes.run(2'000, false);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("relayed registrations lack the models, so all are read", snapshotReads + 1, nodes.other->store.snapshotReads);
        CPPUNIT_ASSERT(nodes.known("i-3") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), nodes.other->configuration.current()->version);
    }

    void disconnectedHolderIsNotReliedOn()
    {
        node_pair nodes;
        nodes.run(3'000);
        nodes.holder->store.isDisconnected = true;
        nodes.shared.registrations.push_back(entryOf("i-1", true));
        nodes.shared.versions.push_back(9);
        nodes.run(2'000);
        CPPUNIT_ASSERT(nodes.known("i-1")->entry.draining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), nodes.other->configuration.current()->version);
    }

    void olderUpdateIsIgnored()
    {
        node_pair nodes;
        nodes.run(3'000);
        const store_update old = nodes.holder->relay.updatesSince(0);
        nodes.shared.registrations.push_back(entryOf("i-1", true));
        nodes.run(2'000, false);
        CPPUNIT_ASSERT(nodes.known("i-1")->entry.draining);
        nodes.other->relay.apply(token, old, read_time::now());
        CPPUNIT_ASSERT_MESSAGE("a known draining state is not reverted", nodes.known("i-1")->entry.draining);
    }

    void longAbsenceCausesAFullSnapshot()
    {
        node_pair nodes;
        nodes.run(3'000);
        nodes.shared.registrations.push_back({base::endpoint_id("i-2"), std::nullopt});
        const std::int64_t version = nodes.other->relay.appliedVersion(token);
        nodes.run(40'000, false);
        nodes.shared.registrations.push_back(entryOf("i-4"));
        nodes.run(1'000, false);
        const store_update update = nodes.holder->relay.updatesSince(version);
        CPPUNIT_ASSERT_MESSAGE("the removal of i-2 is no longer kept, so a full snapshot is sent", update.isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), update.registrations.size());
    }

    void modelsOfAKnownProcessAreKept()
    {
        node_pair nodes;
        nodes.run(3'000);
        nodes.shared.registrations.push_back(entryOf("i-1", true));
        nodes.run(1'500);
        CPPUNIT_ASSERT(nodes.known("i-1")->entry.draining);
        CPPUNIT_ASSERT_EQUAL(std::string("m0"), nodes.known("i-1")->entry.models.at(0).name);
        CPPUNIT_ASSERT(nodes.other->registry.isRelayed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_relay_test);
