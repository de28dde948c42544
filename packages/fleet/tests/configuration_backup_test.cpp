#include "memory_store.hpp"

#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_backup.hpp>
#include <chervilbend/fleet/configuration_copies.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

using namespace chervilbend;
using namespace chervilbend::fleet;
using namespace chervilbend::fleet::test;
namespace asio = boost::asio;

namespace
{

traffic_configuration versionOf(std::int64_t version)
{
    traffic_configuration configuration;
    configuration.version = version;
    return configuration;
}

/// A store whose operators' record can be read or not.
class operator_store : public memory_store
{
public:
    using memory_store::memory_store;

    asio::awaitable<std::optional<configuration_page>> newestConfiguration() override
    {
        const base::time_point arrivedAt = base::clock::now() + transferTime;
        co_await net::sleepFor(delay);
        while (base::clock::now() < arrivedAt) {
            notifyConfigurationArriving();
            co_await net::sleepFor(std::min(base::milliseconds(20), arrivedAt - base::clock::now()));
        }
        if (!readable) {
            co_return fail(base::error_kind::logUnavailable, "silent");
        }
        configuration_page page;
        page.newest = versionOf(*readable);
        page.record = "record " + std::to_string(*readable);
        page.next = *readable;
        co_return page;
    }

    asio::awaitable<std::optional<configuration_page>> configurationFrom(std::int64_t /*position*/, base::milliseconds wait) override
    {
        co_await net::sleepFor(std::max(wait, delay));
        co_return co_await newestConfiguration();
    }

    std::optional<std::int64_t> readable;
    /// How long an answer takes to arrive.
    base::milliseconds transferTime{0};
};

/// Copies that are kept in memory; some of them can't be reached.
class memory_copies : public configuration_copies
{
public:
    int count() const override
    {
        return 3;
    }

    asio::awaitable<std::optional<configuration_copy>> read(int index) override
    {
        ++reads;
        co_await net::sleepFor(base::milliseconds(4));
        const auto found = versions.find(index);
        if (silent.contains(index) || found == versions.end()) {
            co_return std::nullopt;
        }
        co_return configuration_copy{versionOf(found->second), "record " + std::to_string(found->second)};
    }

    asio::awaitable<bool> write(int index, std::string record) override
    {
        ++writes;
        co_await net::sleepFor(base::milliseconds(4));
        if (silent.contains(index)) {
            co_return false;
        }
        versions[index] = std::stoll(record.substr(std::string("record ").size()));
        co_return true;
    }

    std::map<int, std::int64_t> versions;
    std::map<int, bool> silent;
    int reads = 0;
    int writes = 0;
};

struct backup_fixture {
    backup_fixture()
    {
        asio::co_spawn(context, follower.run(), asio::detached);
        for (int i = 0; i < copies.count(); ++i) {
            asio::co_spawn(context, backup.run(i), asio::detached);
        }
    }

    ~backup_fixture()
    {
        context.stop();
    }

    void acquireLease()
    {
        asio::co_spawn(context, lease.run(), asio::detached);
    }

    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        const base::time_point end = base::clock::now() + base::milliseconds(20'000);
        while (!condition() && base::clock::now() < end) {
            context.run_for(std::chrono::milliseconds(5));
        }
        CPPUNIT_ASSERT(condition());
    }

    std::int64_t version() const
    {
        return follower.current() ? follower.current()->version : 0;
    }

    asio::io_context context;
    store_content content;
    operator_store store{content};
    memory_copies copies;
    configuration_follower follower{store, 1};
    command_lease lease{store, [] {
                            command_lease_options own;
                            own.node = base::node_id("a");
                            own.incarnation = 1;
                            return own;
                        }()};
    base::counter restored;
    configuration_backup backup{copies, follower, lease, restored};
};

} // namespace

/// Guards against nodes that can serve nothing after a loss of all nodes, because the one place with the operators' record is silent.
class configuration_backup_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_backup_test);
    CPPUNIT_TEST(nodeServesByACopyWhileTheRecordIsSilent);
    CPPUNIT_TEST(copyNeverReplacesAVersion);
    CPPUNIT_TEST(holderWritesEachVersionOnce);
    CPPUNIT_TEST(nodeThatReadsTheRecordNeedsNoCopy);
    CPPUNIT_TEST(copiesDoNotCompeteWithALongAnswer);
    CPPUNIT_TEST(longAnswerConfirmsWhatHeldWhenItBegan);
    CPPUNIT_TEST_SUITE_END();

public:
    void nodeServesByACopyWhileTheRecordIsSilent()
    {
        backup_fixture fixture;
        fixture.copies.versions = {{1, 7}};
        fixture.copies.silent[0] = true;
        fixture.runUntil([&] { return fixture.version() == 7; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fixture.restored.value());
        CPPUNIT_ASSERT_MESSAGE("a copy is not confirmed", fixture.follower.confirmedAt() == base::time_point{});
        CPPUNIT_ASSERT(!fixture.follower.position());
        fixture.store.readable = 9;
        fixture.runUntil([&] { return fixture.version() == 9; });
        CPPUNIT_ASSERT(fixture.follower.confirmedAt() > base::time_point{});
    }

    void copyNeverReplacesAVersion()
    {
        backup_fixture fixture;
        fixture.store.readable = 5;
        fixture.runUntil([&] { return fixture.version() == 5; });
        CPPUNIT_ASSERT(!fixture.follower.applyCopy(versionOf(8), "record 8"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fixture.version());
        CPPUNIT_ASSERT_EQUAL(std::string("record 5"), fixture.follower.record());
    }

    void holderWritesEachVersionOnce()
    {
        backup_fixture fixture;
        fixture.store.readable = 5;
        fixture.copies.silent[2] = true;
        fixture.acquireLease();
        fixture.runUntil([&] { return fixture.copies.versions == std::map<int, std::int64_t>{{0, 5}, {1, 5}}; });
        fixture.store.readable = 6;
        fixture.runUntil([&] { return fixture.copies.versions == std::map<int, std::int64_t>{{0, 6}, {1, 6}}; });
        fixture.copies.silent.clear();
        fixture.runUntil([&] { return fixture.copies.versions.size() == 3 && fixture.copies.versions[2] == 6; });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fixture.copies.writes), fixture.copies.writes <= 9);
    }

    void nodeThatReadsTheRecordNeedsNoCopy()
    {
        backup_fixture fixture;
        fixture.store.readable = 5;
        fixture.copies.versions = {{0, 4}, {1, 4}, {2, 4}};
        fixture.runUntil([&] { return fixture.version() == 5; });
        fixture.context.run_for(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(0, fixture.copies.reads);
    }

    /// Failure: a node that started behind a thin link read the copies beside the record itself, which made all of them several times as slow.
    void copiesDoNotCompeteWithALongAnswer()
    {
        backup_fixture fixture;
        fixture.store.transferTime = base::milliseconds(800);
        fixture.store.readable = 5;
        fixture.copies.versions = {{0, 4}, {1, 4}, {2, 4}};
        fixture.runUntil([&] { return fixture.version() != 0; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fixture.version());
        CPPUNIT_ASSERT_EQUAL(0, fixture.copies.reads);
    }

    /// Failure: a key that was removed while a long answer arrived was accepted for as long again as the transfer had taken.
    void longAnswerConfirmsWhatHeldWhenItBegan()
    {
        backup_fixture fixture;
        fixture.store.transferTime = base::milliseconds(800);
        fixture.store.readable = 5;
        fixture.runUntil([&] { return fixture.version() == 5; });
        CPPUNIT_ASSERT(base::clock::now() - fixture.follower.confirmedAt() >= base::milliseconds(700));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_backup_test);
