#include <chervilbend/control/checkpoint_transfer.hpp>
#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_follower.hpp>
#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/state/record_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace chervilbend;
using namespace chervilbend::control;
using base::milliseconds;

namespace
{

/// The appender and follower of one node on the control stream.
struct log_fixture {
    boost::asio::io_context context;
    fakes::virtual_time time{context};
    std::shared_ptr<fakes::log_store> store;
    std::shared_ptr<fakes::log_store> checkpointStore = std::make_shared<fakes::log_store>();
    fakes::in_process_log_service log;
    fakes::in_process_log_service checkpoints{checkpointStore};
    state::replicated_state state;
    log_follower follower;
    log_appender appender;

    explicit log_fixture(std::shared_ptr<fakes::log_store> records = std::make_shared<fakes::log_store>())
        : store(std::move(records))
        , log(store)
        , follower(context.get_executor(), log, state, {}, &checkpoints)
        , appender(context.get_executor(), log)
    {
    }

    static state::entry heartbeat(int node)
    {
        return state::heartbeat_entry{base::node_id("node" + std::to_string(node)), base::incarnation(1), {}, false, base::clock::wallNow()};
    }

    std::shared_ptr<std::optional<external::append_result>> append(int node)
    {
        auto result = std::make_shared<std::optional<external::append_result>>();
        boost::asio::co_spawn(context, appendTo(appender, {heartbeat(node)}, result), boost::asio::detached);
        return result;
    }

    static boost::asio::awaitable<void>
        appendTo(log_appender &to, std::vector<state::entry> entries, std::shared_ptr<std::optional<external::append_result>> result)
    {
        *result = co_await to.append(std::move(entries));
    }

    static boost::asio::awaitable<void> write(log_fixture *self, bool *written)
    {
        *written = co_await writeCheckpoint(self->checkpoints, "control", self->state, "c1");
    }

    void setOutage(bool outage)
    {
        fakes::log_faults faults;
        faults.outage = outage;
        store->setFaults(faults);
    }
};

} // namespace

/// Guards against a follower that stops at an outage, retries without backoff while the log is down, or skips records that it has not read,
/// and against an appender that retries or reorders appends.
class log_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_follower_test);
    CPPUNIT_TEST(entriesThatWaitAreBatched);
    CPPUNIT_TEST(lostAnswerIsReportedAsUnknownAndNotRepeated);
    CPPUNIT_TEST(fullQueueIsRefused);
    CPPUNIT_TEST(followerSurvivesAnOutage);
    CPPUNIT_TEST(checkpointReplacesMissingRecords);
    CPPUNIT_TEST(gapWithoutCheckpointIsNotApplied);
    CPPUNIT_TEST_SUITE_END();

public:
    void entriesThatWaitAreBatched()
    {
        log_fixture node;
        fakes::log_faults slow;
        slow.delay = milliseconds(100);
        node.store->setFaults(slow);
        node.follower.start();
        for (int i = 0; i < 50; ++i) {
            node.append(i);
        }
        node.time.advance(milliseconds(1'000));
        // The first entry starts an append; all others are queued until it is answered.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), node.store->appendCount());
        for (int i = 50; i < 60; ++i) {
            node.append(i);
            node.time.advance(milliseconds(10));
        }
        node.time.advance(milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), node.store->appendCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), node.state.heartbeats().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), node.appender.waiting());
    }

    void lostAnswerIsReportedAsUnknownAndNotRepeated()
    {
        log_fixture node;
        fakes::log_faults faults;
        faults.lostAnswers = 1;
        node.store->setFaults(faults);
        node.follower.start();
        const auto result = node.append(1);
        node.time.advance(milliseconds(5'000));
        CPPUNIT_ASSERT(*result && (*result)->status == external::append_status::unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.store->appendCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), node.state.heartbeats().size());
    }

    void fullQueueIsRefused()
    {
        log_fixture node;
        fakes::log_faults slow;
        slow.delay = milliseconds(60'000);
        node.store->setFaults(slow);
        for (int i = 0; i < 1'000; ++i) {
            node.append(i);
        }
        const auto result = node.append(1'000);
        node.time.advance(milliseconds(100));
        CPPUNIT_ASSERT(*result && (*result)->status == external::append_status::refused);
    }

    void followerSurvivesAnOutage()
    {
        log_fixture node;
        node.follower.start();
        node.append(1);
        node.time.advance(milliseconds(100));
        CPPUNIT_ASSERT(node.follower.isReachable());
        node.setOutage(true);
        node.time.advance(milliseconds(60'000));
        CPPUNIT_ASSERT(!node.follower.isReachable());
        node.setOutage(false);
        const base::time_point back = base::clock::now();
        node.append(2);
        node.time.advance(milliseconds(5'100));
        CPPUNIT_ASSERT(node.follower.isReachable());
        CPPUNIT_ASSERT(node.follower.lastAtHead() >= back);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), node.state.heartbeats().size());
    }

    void checkpointReplacesMissingRecords()
    {
        fakes::log_store_options options;
        options.maxRecords = 10;
        log_fixture node(std::make_shared<fakes::log_store>(options));
        node.follower.start();
        for (int i = 0; i < 30; ++i) {
            node.append(i);
            node.time.advance(milliseconds(10));
        }
        bool written = false;
        boost::asio::co_spawn(node.context, log_fixture::write(&node, &written), boost::asio::detached);
        node.time.advance(milliseconds(10));
        CPPUNIT_ASSERT(written);
        node.append(30);
        node.time.advance(milliseconds(10));
        state::replicated_state late;
        log_follower lateFollower(node.context.get_executor(), node.log, late, {}, &node.checkpoints);
        lateFollower.start();
        node.time.advance(milliseconds(100));
        CPPUNIT_ASSERT(lateFollower.isReachable());
        CPPUNIT_ASSERT_EQUAL(node.state.dump(), late.dump());
    }

    void gapWithoutCheckpointIsNotApplied()
    {
        fakes::log_store_options options;
        options.maxRecords = 10;
        log_fixture node(std::make_shared<fakes::log_store>(options));
        for (int i = 0; i < 30; ++i) {
            node.store->append(state::encodeRecord(std::vector<state::entry>{log_fixture::heartbeat(i)}));
        }
        node.follower.start();
        node.time.advance(milliseconds(1'000));
        CPPUNIT_ASSERT(!node.follower.isReachable());
        CPPUNIT_ASSERT_EQUAL(base::log_offset(0), node.state.appliedOffset());
        // The state of a peer covers the missing records.
        state::replicated_state peer;
        peer.apply(base::log_offset(25), "[]");
        CPPUNIT_ASSERT(node.follower.restore(peer.dump()));
        node.time.advance(milliseconds(6'000));
        CPPUNIT_ASSERT(node.follower.isReachable());
        CPPUNIT_ASSERT_EQUAL(base::log_offset(30), node.state.appliedOffset());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_follower_test);
