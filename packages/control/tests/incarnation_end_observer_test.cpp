#include "../../state/tests/fold_fixture.hpp"

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/incarnation_end_observer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace chervilbend;

namespace
{

/// Folds each appended entry at once.
class folding_sink : public control::entry_sink
{
public:
    explicit folding_sink(fold_fixture &log)
        : m_log(log)
    {
    }

    void append(state::entry entry) override
    {
        ++appended;
        m_log.add(std::move(entry));
    }

    void appendTogether(std::vector<state::entry> entries) override
    {
        for (state::entry &entry : entries) {
            append(std::move(entry));
        }
    }

    boost::asio::awaitable<bool> appendAndFold(std::vector<state::entry> entries, base::time_point) override
    {
        appendTogether(std::move(entries));
        co_return true;
    }

    int appended = 0;

private:
    fold_fixture &m_log;
};

membership::member node(const char *id, std::int64_t life)
{
    membership::member member;
    member.id = base::node_id(id);
    member.life = base::incarnation(life);
    return member;
}

/// An engine that does not check fencing tokens, whose former owner "a" in its life 1 may still load an item.
struct scene {
    scene()
        : members(node("p", 1), {}, 1)
        , sink(log)
        , observer(
              log.state, members, [this] { return isPlanner; }, sink, unlistedFor)
    {
        log.assign("n", "item", 10);
        log.take("n", "p", 1);
    }

    /// Looks once per second.
    void wait(base::milliseconds duration)
    {
        for (base::milliseconds passed{0}; passed < duration; passed += base::milliseconds(1'000)) {
            time.advance(base::milliseconds(1'000));
            observer.observe();
        }
    }

    bool isQuarantined() const
    {
        return !log.state.quarantined().empty();
    }

    static external::host_entry listed(const char *id)
    {
        external::host_entry host;
        host.id = id;
        return host;
    }

    static constexpr base::milliseconds unlistedFor{600'000};
    static constexpr base::milliseconds second{1'000};

    base::manual_time_source time;
    fold_fixture log;
    membership::member_table members;
    folding_sink sink;
    bool isPlanner = true;
    control::incarnation_end_observer observer;
};

} // namespace

/// Guards against memory that is freed while a former owner's load may still arrive, and against memory that is never freed.
class incarnation_end_observer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(incarnation_end_observer_test);
    CPPUNIT_TEST(liftsWhenALaterLifeHasAnsweredLongEnough);
    CPPUNIT_TEST(liftsWhenTheHostListHasNotShownASilentNodeLongEnough);
    CPPUNIT_TEST(keepsWhileTheHostListShowsTheNode);
    CPPUNIT_TEST(leavesTheRecordToThePlanner);
    CPPUNIT_TEST_SUITE_END();

public:
    void liftsWhenALaterLifeHasAnsweredLongEnough()
    {
        scene now;
        CPPUNIT_ASSERT(now.isQuarantined());
        now.observer.hostsChanged({scene::listed("a")});
        membership::gossip hello;
        hello.sender = node("a", 2);
        now.members.receive(hello, true);
        now.wait(control::incarnation_end_observer::commandFlight - scene::second);
        CPPUNIT_ASSERT(now.isQuarantined());
        now.wait(3 * scene::second);
        CPPUNIT_ASSERT(!now.isQuarantined());
        CPPUNIT_ASSERT_EQUAL(1, now.sink.appended);
    }

    void liftsWhenTheHostListHasNotShownASilentNodeLongEnough()
    {
        scene now;
        now.observer.hostsChanged({});
        now.wait(scene::unlistedFor - scene::second);
        CPPUNIT_ASSERT(now.isQuarantined());
        now.wait(3 * scene::second);
        CPPUNIT_ASSERT(!now.isQuarantined());
    }

    void keepsWhileTheHostListShowsTheNode()
    {
        scene now;
        now.observer.hostsChanged({scene::listed("a")});
        now.wait(2 * scene::unlistedFor);
        CPPUNIT_ASSERT(now.isQuarantined());
    }

    void leavesTheRecordToThePlanner()
    {
        scene now;
        now.isPlanner = false;
        now.observer.hostsChanged({});
        now.wait(2 * scene::unlistedFor);
        CPPUNIT_ASSERT_EQUAL(0, now.sink.appended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(incarnation_end_observer_test);
