#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/refused_parts_record.hpp>
#include <chervilbend/fleet/refused_parts_store.hpp>
#include <chervilbend/routing/prompt_part_tracker.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
using namespace chervilbend::fleet::test;
namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t crashingPart = 3;
constexpr std::uint64_t service = 9;

class memory_record : public refused_parts_store
{
public:
    asio::awaitable<std::optional<std::string>> read() override
    {
        ++reads;
        co_await net::sleepFor(base::milliseconds(4));
        co_return isReadable ? std::optional(record) : std::nullopt;
    }

    asio::awaitable<bool> write(std::string text) override
    {
        ++writes;
        co_await net::sleepFor(base::milliseconds(4));
        if (isWritable) {
            record = std::move(text);
        }
        co_return isWritable;
    }

    std::string record;
    bool isReadable = true;
    bool isWritable = true;
    int reads = 0;
    int writes = 0;
};

struct recording_node {
    recording_node(asio::io_context &context, fleet_store &leases, memory_record &record, const std::string &name)
        : lease(leases,
                [&] {
                    command_lease_options own;
                    own.node = base::node_id(name);
                    own.incarnation = 1;
                    return own;
                }())
        , kept(record, prompts, lease)
    {
        asio::co_spawn(context, kept.run(), asio::detached);
    }

    routing::prompt_part_tracker prompts;
    command_lease lease;
    refused_parts_record kept;
};

struct record_fixture {
    recording_node &start(const std::string &name)
    {
        nodes.push_back(std::make_unique<recording_node>(context, store, record, name));
        return *nodes.back();
    }

    recording_node &startHolder(const std::string &name)
    {
        recording_node &node = start(name);
        asio::co_spawn(context, node.lease.run(), asio::detached);
        time.advance(base::milliseconds(5'000));
        CPPUNIT_ASSERT(node.lease.isHolder());
        return node;
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    store_content content;
    memory_store store{content};
    memory_record record;
    std::vector<std::unique_ptr<recording_node>> nodes;
};

void recordLosses(routing::prompt_part_tracker &prompts, std::uint64_t part = crashingPart)
{
    for (std::uint64_t process = 1; process <= routing::prompt_part_tracker::lossesForCertainty; ++process) {
        prompts.recordLoss({part}, process);
    }
}

} // namespace

/// Guards against parts of prompts that crash endpoints anew after each end of all processes.
class refused_parts_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(refused_parts_record_test);
    CPPUNIT_TEST(partIsRefusedAfterTheEndOfAllProcesses);
    CPPUNIT_TEST(clearedPartLeavesTheRecord);
    CPPUNIT_TEST(onlyTheHolderWrites);
    CPPUNIT_TEST(callsAreBounded);
    CPPUNIT_TEST(silentStoreIsCalledSeldom);
    CPPUNIT_TEST(unreadableRecordIsIgnored);
    CPPUNIT_TEST(recordIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void partIsRefusedAfterTheEndOfAllProcesses()
    {
        record_fixture fixture;
        recordLosses(fixture.startHolder("a").prompts);
        fixture.time.advance(base::milliseconds(2'000));
        recording_node &started = fixture.start("b");
        fixture.time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT(started.prompts.refusedPart({crashingPart}));
        CPPUNIT_ASSERT_MESSAGE("a part that is certain to be the cause gets no trial", !started.prompts.takeTrial(crashingPart));
        // The losses are as old as they were when they were written, and are forgotten after the usual time.
        fixture.time.advance(base::milliseconds(3'600'000));
        started.prompts.recordLoss({crashingPart + 1}, 1);
        CPPUNIT_ASSERT(!started.prompts.refusedPart({crashingPart}));
    }

    void clearedPartLeavesTheRecord()
    {
        record_fixture fixture;
        recording_node &holder = fixture.startHolder("a");
        recordLosses(holder.prompts);
        fixture.time.advance(base::milliseconds(2'000));
        holder.prompts.recordLastingAnswer({crashingPart}, service);
        fixture.time.advance(base::milliseconds(2'000));
        recording_node &started = fixture.start("b");
        fixture.time.advance(base::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(2, fixture.record.writes);
        CPPUNIT_ASSERT(!started.prompts.refusedPart({crashingPart}));
    }

    void onlyTheHolderWrites()
    {
        record_fixture fixture;
        recordLosses(fixture.start("a").prompts);
        fixture.time.advance(base::milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(1, fixture.record.reads);
        CPPUNIT_ASSERT_EQUAL(0, fixture.record.writes);
    }

    void callsAreBounded()
    {
        record_fixture fixture;
        recording_node &holder = fixture.startHolder("a");
        const int reads = fixture.record.reads;
        CPPUNIT_ASSERT(reads <= 2);
        fixture.time.advance(base::milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing is written while nothing is refused", 0, fixture.record.writes);
        for (std::uint64_t part = 0; part < 100; ++part) {
            recordLosses(holder.prompts, crashingPart + part);
            fixture.time.advance(base::milliseconds(100));
        }
        CPPUNIT_ASSERT(fixture.record.writes >= 1 && fixture.record.writes <= 11);
        fixture.time.advance(base::milliseconds(2'000));
        const int writes = fixture.record.writes;
        fixture.time.advance(refused_parts_record::renewalInterval - base::milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(writes, fixture.record.writes);
        fixture.time.advance(base::milliseconds(20'000));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the ages are renewed", writes + 1, fixture.record.writes);
        CPPUNIT_ASSERT_EQUAL(reads, fixture.record.reads);
    }

    void silentStoreIsCalledSeldom()
    {
        record_fixture fixture;
        fixture.record.isReadable = fixture.record.isWritable = false;
        recording_node &holder = fixture.startHolder("a");
        recordLosses(holder.prompts);
        fixture.time.advance(base::milliseconds(55'000));
        CPPUNIT_ASSERT(fixture.record.reads <= 13);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("what was not read is not replaced", 0, fixture.record.writes);
        fixture.record.isReadable = true;
        fixture.time.advance(base::milliseconds(60'000));
        CPPUNIT_ASSERT(fixture.record.writes >= 1 && fixture.record.writes <= 12);
        fixture.record.isWritable = true;
        fixture.time.advance(base::milliseconds(10'000));
        CPPUNIT_ASSERT(!fixture.record.record.empty());
    }

    void unreadableRecordIsIgnored()
    {
        constexpr std::size_t tooDeep = 100'000;
        const std::vector<std::string> records{
            "no object", "[1]", "{}", "{\"losses\":{},\"answered\":{},\"wanted\":[],\"trials\":[],\"lost\":7}", "{\"losses\":[]}", std::string(tooDeep, '[')};
        for (const std::string &text : records) {
            record_fixture fixture;
            fixture.record.record = text;
            recording_node &holder = fixture.startHolder("a");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t(0), holder.prompts.refusedParts());
            recordLosses(holder.prompts);
            fixture.time.advance(base::milliseconds(2'000));
            CPPUNIT_ASSERT_MESSAGE(text, fixture.record.record != text);
        }
    }

    void recordIsBounded()
    {
        record_fixture fixture;
        recording_node &holder = fixture.startHolder("a");
        for (std::uint64_t part = 0; part < 60; ++part) {
            for (std::uint64_t process = 1; process <= 100; ++process) {
                holder.prompts.recordLoss({(1ULL << 63) + part}, (1ULL << 63) + 1'000 * part + process);
            }
        }
        fixture.time.advance(base::milliseconds(2'000));
        constexpr std::size_t maxBytes = 16'384;
        CPPUNIT_ASSERT(!fixture.record.record.empty() && fixture.record.record.size() <= maxBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refused_parts_record_test);
