#include "../../state/tests/state_fixture.hpp"

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/incarnation_end_observer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace chervilbend;

namespace
{

/// Applies each appended entry immediately.
class applying_sink : public control::entry_sink
{
public:
    explicit applying_sink(state_fixture &log)
        : m_log(log)
    {
    }

    void append(state::entry entry) override
    {
        ++appended;
        m_log.add(std::move(entry));
    }

    void appendBatch(std::vector<state::entry> entries) override
    {
        for (state::entry &entry : entries) {
            append(std::move(entry));
        }
    }

    boost::asio::awaitable<bool> appendAndApply(std::vector<state::entry> entries, base::time_point) override
    {
        appendBatch(std::move(entries));
        co_return true;
    }

    int appended = 0;

private:
    state_fixture &m_log;
};

membership::member node(const char *id, std::int64_t incarnation)
{
    membership::member member;
    member.id = base::node_id(id);
    member.incarnation = base::incarnation(incarnation);
    return member;
}

/// An engine that does not check fencing tokens and whose former owner, incarnation 1 of node "a", may still load an item.
struct former_owner_fixture {
    former_owner_fixture()
        : members(node("p", 1), {}, 1)
        , sink(log)
        , observer(
              log.state, members, [this] { return isPlanner; }, sink, unlistedTimeout)
    {
        log.assign("n", "item", 10);
        log.acquire("n", "p", 1);
    }

    /// Advances the time and calls observe() once per second.
    void advance(base::milliseconds duration)
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

    static constexpr base::milliseconds unlistedTimeout{600'000};
    static constexpr base::milliseconds second{1'000};

    base::manual_time_source time;
    state_fixture log;
    membership::member_table members;
    applying_sink sink;
    bool isPlanner = true;
    control::incarnation_end_observer observer;
};

} // namespace

/// Guards against memory that is released while a load command of a former owner may still be delivered, and against memory that is never
/// released.
class incarnation_end_observer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(incarnation_end_observer_test);
    CPPUNIT_TEST(liftsQuarantineAfterALaterIncarnationAnswered);
    CPPUNIT_TEST(liftsQuarantineOfAnUnlistedUnresponsiveNode);
    CPPUNIT_TEST(keepsQuarantineWhileTheNodeIsListed);
    CPPUNIT_TEST(appendsOnlyOnThePlanner);
    CPPUNIT_TEST_SUITE_END();

public:
    void liftsQuarantineAfterALaterIncarnationAnswered()
    {
        former_owner_fixture fixture;
        CPPUNIT_ASSERT(fixture.isQuarantined());
        fixture.observer.hostsChanged({former_owner_fixture::listed("a")});
        membership::gossip hello;
        hello.sender = node("a", 2);
        fixture.members.receive(hello, true);
        fixture.advance(control::incarnation_end_observer::commandTransitTime - former_owner_fixture::second);
        CPPUNIT_ASSERT(fixture.isQuarantined());
        fixture.advance(3 * former_owner_fixture::second);
        CPPUNIT_ASSERT(!fixture.isQuarantined());
        CPPUNIT_ASSERT_EQUAL(1, fixture.sink.appended);
    }

    void liftsQuarantineOfAnUnlistedUnresponsiveNode()
    {
        former_owner_fixture fixture;
        fixture.observer.hostsChanged({});
        fixture.advance(former_owner_fixture::unlistedTimeout - former_owner_fixture::second);
        CPPUNIT_ASSERT(fixture.isQuarantined());
        fixture.advance(3 * former_owner_fixture::second);
        CPPUNIT_ASSERT(!fixture.isQuarantined());
    }

    void keepsQuarantineWhileTheNodeIsListed()
    {
        former_owner_fixture fixture;
        fixture.observer.hostsChanged({former_owner_fixture::listed("a")});
        fixture.advance(2 * former_owner_fixture::unlistedTimeout);
        CPPUNIT_ASSERT(fixture.isQuarantined());
    }

    void appendsOnlyOnThePlanner()
    {
        former_owner_fixture fixture;
        fixture.isPlanner = false;
        fixture.observer.hostsChanged({});
        fixture.advance(2 * former_owner_fixture::unlistedTimeout);
        CPPUNIT_ASSERT_EQUAL(0, fixture.sink.appended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(incarnation_end_observer_test);
