#include "registrations.hpp"
#include "restorable_store.hpp"

#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/fleet/store_update_json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

using base::milliseconds;
using test::entryOf;

constexpr milliseconds readInterval{800};
constexpr milliseconds exchangeInterval{250};
constexpr milliseconds commandGap{3'000};
/// Time in which a change must be known everywhere.
constexpr milliseconds propagationTime{2'000};

endpoint_change endOf(const std::string &id)
{
    return {base::endpoint_id(id), std::nullopt};
}

struct following_node {
    following_node(asio::io_context &context, test::restorable_content &content, bool isHolder)
        : store(content)
        , endpoints(store, registry, readInterval, isHolder ? 1 : 2)
        , configuration(store, 3)
        , relay(registry, endpoints, configuration)
    {
        endpoints.onChange([this](const std::set<base::endpoint_id> &changed) { relay.noteChanged(changed); });
        relay.leaseChanged(isHolder);
        asio::co_spawn(context, endpoints.run(), asio::detached);
        asio::co_spawn(context, configuration.run(), asio::detached);
    }

    std::int64_t version() const
    {
        return configuration.current() ? configuration.current()->version : 0;
    }

    /// Whether requests may be sent to the endpoint.
    bool uses(const std::string &id) const
    {
        const auto known = registry.endpoints().find(base::endpoint_id(id));
        return known != registry.endpoints().end() && !known->second.entry.draining;
    }

    test::restorable_store store;
    endpoint_registry registry;
    endpoint_follower endpoints;
    configuration_follower configuration;
    store_relay relay;
};

/// The holder of the lease, which reads the store for all, and another node.
struct following_pair {
    following_pair()
    {
        content.versions = {3};
        content.registrations = {entryOf("i-1", 1), entryOf("i-2", 1)};
        run(milliseconds(2'000));
    }

    void run(milliseconds duration)
    {
        for (milliseconds done{0}; done < duration; done += exchangeInterval) {
            const store_update update = holder.relay.updatesSince(other.relay.appliedVersion(token));
            const std::optional<store_update> read = readStoreUpdate(toJson(update));
            CPPUNIT_ASSERT(read);
            snapshots += read->isSnapshot ? 1 : 0;
            other.relay.apply(token, *read, read_time::now());
            time.advance(exchangeInterval);
        }
    }

    /// The store is away for @p outage and comes back from @p older.
    void restore(const test::restorable_content::copy &older, milliseconds outage)
    {
        content.isDown = outage > milliseconds(0);
        run(outage);
        content.restore(older);
        content.isDown = false;
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::restorable_content content;
    following_node holder{context, content, true};
    following_node other{context, content, false};
    std::int64_t token = 7;
    int snapshots = 0;
};

struct lease_cluster {
    explicit lease_cluster(bool checksFencing = true)
        : m_checksFencing(checksFencing)
    {
    }

    void add(const std::string &name)
    {
        command_lease_options options;
        options.node = base::node_id(name);
        options.incarnation = 1;
        options.peerAddress = "127.0.0.1:1";
        options.commandGap = commandGap;
        options.enginesCheckFencing = m_checksFencing;
        stores.push_back(std::make_unique<test::restorable_store>(content));
        leases.push_back(std::make_unique<command_lease>(*stores.back(), options));
        asio::co_spawn(context, leases.back()->run(), asio::detached);
    }

    /// Checks at each step that commands of two nodes are at least commandGap apart, and that tokens grow.
    void run(milliseconds duration)
    {
        for (milliseconds done{0}; done < duration; done += milliseconds(10)) {
            time.advance(milliseconds(10));
            for (std::size_t i = 0; i < leases.size(); ++i) {
                if (leases[i]->mayCommand()) {
                    checkCommand(i);
                }
            }
        }
    }

    void checkCommand(std::size_t node)
    {
        const base::time_point now = base::clock::now();
        CPPUNIT_ASSERT_MESSAGE(message + ": two nodes sent commands within the gap", lastCommander == node || now - lastCommand >= commandGap);
        CPPUNIT_ASSERT_MESSAGE(message + ": the token of a later holder must be higher",
                               lastCommander == node ? leases[node]->token() >= lastToken : leases[node]->token() > lastToken);
        lastCommander = node;
        lastCommand = now;
        lastToken = leases[node]->token();
    }

    command_lease *holder() const
    {
        for (const auto &lease : leases) {
            if (lease->isHolder()) {
                return lease.get();
            }
        }
        return nullptr;
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::restorable_content content;
    std::vector<std::unique_ptr<test::restorable_store>> stores;
    std::vector<std::unique_ptr<command_lease>> leases;
    std::string message;
    std::size_t lastCommander = 0;
    base::time_point lastCommand{milliseconds(-10'000)};
    std::int64_t lastToken = 0;

private:
    bool m_checksFencing;
};

} // namespace

/// Guards against nodes that take a store that has come back from an older copy of itself for current: they would miss confirmed versions, send to
/// endpoints that have left, or command engines beside another holder.
class restored_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_store_test);
    CPPUNIT_TEST(versionsAfterTheRestorationAreRead);
    CPPUNIT_TEST(olderVersionIsNotAppliedAgain);
    CPPUNIT_TEST(endpointThatDrainsAfterTheRestorationIsLeft);
    CPPUNIT_TEST(drainingEndpointStaysSo);
    CPPUNIT_TEST(endedRegistrationStaysEnded);
    CPPUNIT_TEST(endpointThatWritesAgainIsUsedAgain);
    CPPUNIT_TEST(lostRegistrationIsKeptUntilItIsWrittenAgain);
    CPPUNIT_TEST(registrationsAreNotRelayedAgainAndAgain);
    CPPUNIT_TEST(holderKeepsItsLease);
    CPPUNIT_TEST(holderSurvivesTheLossOfItsRecord);
    CPPUNIT_TEST(formerHolderInTheCopyDoesNotCommand);
    CPPUNIT_TEST(randomRestorationsLeaveOneCommander);
    CPPUNIT_TEST_SUITE_END();

public:
    void versionsAfterTheRestorationAreRead()
    {
        for (const milliseconds outage : {milliseconds(0), milliseconds(2'000)}) {
            following_pair pair;
            const test::restorable_content::copy copy = pair.content.makeCopy();
            for (const std::int64_t version : {4, 6, 9}) {
                pair.content.versions.push_back(version);
                pair.run(milliseconds(1'000));
            }
            pair.restore(copy, outage);
            pair.content.versions.push_back(9);
            pair.run(milliseconds(500));
            pair.content.versions.push_back(14);
            pair.run(propagationTime);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(14), pair.holder.version());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(14), pair.other.version());
        }
    }

    void olderVersionIsNotAppliedAgain()
    {
        following_pair pair;
        const test::restorable_content::copy copy = pair.content.makeCopy();
        pair.content.versions.push_back(9);
        pair.run(milliseconds(1'000));
        pair.restore(copy, milliseconds(2'000));
        pair.content.versions.push_back(5);
        pair.run(milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), pair.holder.version());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), pair.other.version());
    }

    void endpointThatDrainsAfterTheRestorationIsLeft()
    {
        following_pair pair;
        const test::restorable_content::copy copy = pair.content.makeCopy();
        for (std::int64_t heartbeat = 2; heartbeat < 12; ++heartbeat) {
            pair.content.registrations.push_back(entryOf("i-1", heartbeat));
        }
        pair.run(milliseconds(1'000));
        pair.restore(copy, milliseconds(2'000));
        pair.run(milliseconds(2'500));
        pair.content.registrations.push_back(entryOf("i-1", 13, true));
        pair.content.registrations.push_back(endOf("i-2"));
        pair.run(propagationTime);
        for (const following_node *node : {&pair.holder, &pair.other}) {
            CPPUNIT_ASSERT(!node->uses("i-1"));
            CPPUNIT_ASSERT(!node->uses("i-2"));
        }
    }

    void drainingEndpointStaysSo()
    {
        following_pair pair;
        const test::restorable_content::copy copy = pair.content.makeCopy();
        pair.content.registrations.push_back(entryOf("i-1", 2, true));
        pair.run(milliseconds(1'500));
        pair.restore(copy, milliseconds(500));
        pair.run(milliseconds(3'000));
        CPPUNIT_ASSERT(!pair.holder.uses("i-1") && pair.holder.uses("i-2"));
        CPPUNIT_ASSERT(!pair.other.uses("i-1") && pair.other.uses("i-2"));
    }

    void endedRegistrationStaysEnded()
    {
        following_pair pair;
        const test::restorable_content::copy copy = pair.content.makeCopy();
        pair.content.registrations.push_back(endOf("i-1"));
        pair.run(milliseconds(1'500));
        CPPUNIT_ASSERT(!pair.other.uses("i-1"));
        pair.restore(copy, milliseconds(0));
        pair.run(milliseconds(3'000));
        CPPUNIT_ASSERT(!pair.holder.uses("i-1"));
        CPPUNIT_ASSERT(!pair.other.uses("i-1"));
    }

    void endpointThatWritesAgainIsUsedAgain()
    {
        following_pair pair;
        pair.content.registrations.push_back(endOf("i-1"));
        pair.run(milliseconds(1'500));
        pair.content.registrations.push_back(entryOf("i-1", 7));
        pair.run(milliseconds(1'500));
        CPPUNIT_ASSERT(pair.holder.uses("i-1"));
        CPPUNIT_ASSERT(pair.other.uses("i-1"));
    }

    void lostRegistrationIsKeptUntilItIsWrittenAgain()
    {
        following_pair pair;
        const test::restorable_content::copy copy = pair.content.makeCopy();
        pair.content.registrations.push_back(entryOf("i-3", 1));
        pair.content.registrations.push_back(entryOf("i-4", 1));
        pair.run(milliseconds(1'500));
        CPPUNIT_ASSERT(pair.other.uses("i-3") && pair.other.uses("i-4"));
        pair.restore(copy, milliseconds(0));
        pair.run(milliseconds(1'250));
        CPPUNIT_ASSERT(pair.holder.uses("i-3") && pair.other.uses("i-3"));
        pair.content.registrations.push_back(entryOf("i-3", 2));
        pair.run(milliseconds(3'000));
        CPPUNIT_ASSERT_MESSAGE("the endpoint has written its registration again", pair.holder.uses("i-3") && pair.other.uses("i-3"));
        CPPUNIT_ASSERT_MESSAGE("the endpoint has gone", !pair.holder.uses("i-4") && !pair.other.uses("i-4"));
    }

    void registrationsAreNotRelayedAgainAndAgain()
    {
        following_pair pair;
        const test::restorable_content::copy copy = pair.content.makeCopy();
        for (std::int64_t heartbeat = 2; heartbeat < 12; ++heartbeat) {
            pair.content.registrations.push_back(entryOf("i-1", heartbeat));
        }
        pair.run(milliseconds(1'500));
        pair.restore(copy, milliseconds(2'000));
        const int before = pair.snapshots;
        pair.run(milliseconds(5'000));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(pair.snapshots - before) + " snapshots", pair.snapshots - before <= 1);
    }

    void holderKeepsItsLease()
    {
        lease_cluster cluster;
        cluster.add("a");
        cluster.run(milliseconds(1'000));
        cluster.add("b");
        cluster.run(milliseconds(2'000));
        const test::restorable_content::copy copy = cluster.content.makeCopy();
        cluster.run(milliseconds(3'000));
        const std::int64_t token = cluster.leases[0]->token();
        cluster.content.restore(copy);
        cluster.run(milliseconds(5'000));
        CPPUNIT_ASSERT(cluster.leases[0]->mayCommand());
        CPPUNIT_ASSERT_EQUAL(token, cluster.leases[0]->token());
    }

    void holderSurvivesTheLossOfItsRecord()
    {
        lease_cluster cluster;
        const test::restorable_content::copy empty = cluster.content.makeCopy();
        cluster.add("a");
        cluster.run(milliseconds(1'000));
        cluster.add("b");
        cluster.run(milliseconds(2'000));
        cluster.content.restore(empty);
        cluster.run(milliseconds(5'000));
        CPPUNIT_ASSERT(cluster.leases[0]->mayCommand());
    }

    /// The copy names a node that has held the lease before the present holder.
    void formerHolderInTheCopyDoesNotCommand()
    {
        for (const bool checksFencing : {true, false}) {
            lease_cluster cluster(checksFencing);
            cluster.add("a");
            cluster.run(milliseconds(1'000));
            cluster.add("b");
            const test::restorable_content::copy copy = cluster.content.makeCopy();
            cluster.leases[0]->resign("test");
            cluster.content.leases.back().released = true;
            cluster.content.leases.back().holder = base::node_id("c");
            cluster.run(milliseconds(9'000));
            cluster.content.restore(copy);
            cluster.run(milliseconds(9'000));
            CPPUNIT_ASSERT(cluster.holder() != nullptr && cluster.holder()->mayCommand());
        }
    }

    void randomRestorationsLeaveOneCommander()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            fakes::seeded_random random(seed);
            lease_cluster cluster(seed % 2 == 0);
            cluster.message = "seed " + std::to_string(seed);
            for (const char *name : {"a", "b", "c"}) {
                cluster.add(name);
            }
            cluster.run(milliseconds(3'000));
            for (int round = 0; round < 6; ++round) {
                const test::restorable_content::copy copy = cluster.content.makeCopy();
                if (cluster.holder() != nullptr && random.chance(0.5)) {
                    cluster.holder()->resign("test");
                }
                cluster.run(milliseconds(random.between(0, 12'000)));
                cluster.content.isDown = true;
                cluster.run(milliseconds(random.between(0, 4'000)));
                cluster.content.restore(copy);
                cluster.content.isDown = false;
                cluster.run(milliseconds(random.between(0, 9'000)));
            }
            cluster.run(milliseconds(9'000));
            CPPUNIT_ASSERT_MESSAGE(cluster.message + ": no node commands", cluster.holder() != nullptr && cluster.holder()->mayCommand());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_test);
