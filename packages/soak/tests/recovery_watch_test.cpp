#include <chervilbend/soak/recovery_watch.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::soak;

/// Guards against soaks that pass nodes which never become ready after all nodes were killed, and against blame for what the nodes can't help.
class recovery_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recovery_watch_test);
    CPPUNIT_TEST(unreadyNodeIsReportedOnceForAKill);
    CPPUNIT_TEST(readyNodeIsNotReported);
    CPPUNIT_TEST(answerOfTheKilledProcessDoesNotCount);
    CPPUNIT_TEST(timeBeginsAnewWithEachObstacle);
    CPPUNIT_TEST_SUITE_END();

public:
    void unreadyNodeIsReportedOnceForAKill()
    {
        m_watch.onAllKilled(m_kill);
        m_watch.onAsked(1, m_kill + recovery_watch::recoveryBound - base::milliseconds(1), false);
        CPPUNIT_ASSERT(m_watch.lateNodes().empty());
        m_watch.onAsked(1, m_kill + recovery_watch::recoveryBound, false);
        m_watch.onAsked(1, m_kill + 2 * recovery_watch::recoveryBound, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_watch.lateNodes().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_watch.lateNodes().front().node);
        CPPUNIT_ASSERT(m_watch.lateNodes().front().killedAt == m_kill);

        const base::time_point secondKill = m_kill + 3 * recovery_watch::recoveryBound;
        m_watch.onAllKilled(secondKill);
        m_watch.onAsked(1, secondKill + recovery_watch::recoveryBound, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_watch.lateNodes().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_watch.kills());
    }

    void readyNodeIsNotReported()
    {
        m_watch.onAllKilled(m_kill);
        m_watch.onAsked(0, m_kill + base::milliseconds(900), true);
        // Stopped later; that is not the kill's doing.
        m_watch.onAsked(0, m_kill + 2 * recovery_watch::recoveryBound, false);
        CPPUNIT_ASSERT(m_watch.lateNodes().empty());
    }

    void answerOfTheKilledProcessDoesNotCount()
    {
        m_watch.onAllKilled(m_kill);
        m_watch.onAsked(0, m_kill - base::milliseconds(10), true);
        m_watch.onAsked(0, m_kill + recovery_watch::recoveryBound, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_watch.lateNodes().size());
    }

    void timeBeginsAnewWithEachObstacle()
    {
        constexpr base::milliseconds outage{5'000};
        m_watch.onAllKilled(m_kill);
        m_watch.onObstacle(0, m_kill + outage);
        m_watch.onAsked(0, m_kill + recovery_watch::recoveryBound, false);
        CPPUNIT_ASSERT(m_watch.lateNodes().empty());
        m_watch.onAsked(0, m_kill + outage + recovery_watch::recoveryBound, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_watch.lateNodes().size());
        CPPUNIT_ASSERT(m_watch.lateNodes().front().freeSince == m_kill + outage);
    }

private:
    const base::time_point m_kill = base::clock::now();
    recovery_watch m_watch{2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(recovery_watch_test);
