#include "state_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::state;

/// Guards against duplicate execution of an order, and against keys that expire at different records on different nodes.
class claim_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_table_test);
    CPPUNIT_TEST(secondClaimIsRejected);
    CPPUNIT_TEST(staleAttemptCannotClaimAfterNotRun);
    CPPUNIT_TEST(outcomesOfOtherClaimsAreIgnored);
    CPPUNIT_TEST(oversizedBodiesAreNotStored);
    CPPUNIT_TEST(keysExpireByRecordTime);
    CPPUNIT_TEST(oneWrongClockExpiresNoKey);
    CPPUNIT_TEST_SUITE_END();

    static constexpr base::milliseconds hour{3'600'000};
    static constexpr base::milliseconds start{1'767'225'600'000};

    static claim_entry claim(const char *id, const char *node, base::milliseconds at = start, base::log_offset base = {})
    {
        return {"key", "body", base::node_id(node), base::incarnation(1), id, at, base};
    }

    static outcome_entry outcome(const char *id, base::run_state state, std::string body = "ok")
    {
        return {"key", id, state, 201, "text/plain", std::move(body)};
    }

    static heartbeat_entry heartbeat(const char *node, base::milliseconds at)
    {
        return {base::node_id(node), base::incarnation(1), base::log_offset(0), false, at};
    }

public:
    void secondClaimIsRejected()
    {
        state_fixture log;
        log.add({claim("1", "a"), claim("2", "b")});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), log.state.claim("key")->claimId);
        log.add(outcome("1", base::run_state::ran));
        log.add(claim("3", "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), log.state.claim("key")->claimId);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), log.state.claim("key")->body);
    }

    /// Attempt 2 arrives before attempt 1 is answered "not run", and its claim is applied afterwards. If that claim were accepted, the order
    /// would run although its caller was told that it did not.
    void staleAttemptCannotClaimAfterNotRun()
    {
        state_fixture log;
        log.add(claim("1", "a"));
        const base::log_offset freed = log.add(outcome("1", base::run_state::notRun));
        log.add(claim("2", "b"));
        CPPUNIT_ASSERT(!log.state.claim("key"));
        CPPUNIT_ASSERT_EQUAL(freed, log.state.claimBase("key"));
        log.add(claim("3", "b", start, freed));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), log.state.claim("key")->claimId);
    }

    void outcomesOfOtherClaimsAreIgnored()
    {
        state_fixture log;
        log.add(claim("1", "a"));
        log.add(outcome("2", base::run_state::notRun));
        CPPUNIT_ASSERT(log.state.claim("key") && !log.state.claim("key")->outcome);
        log.add(outcome("1", base::run_state::unknown));
        log.add(outcome("1", base::run_state::notRun));
        CPPUNIT_ASSERT(log.state.claim("key")->outcome == base::run_state::unknown);
        log.add(outcome("1", base::run_state::ran));
        CPPUNIT_ASSERT(log.state.claim("key")->outcome == base::run_state::ran);
    }

    void oversizedBodiesAreNotStored()
    {
        state_fixture log;
        log.add(claim("1", "a"));
        log.add(outcome("1", base::run_state::ran, std::string(8193, 'x')));
        CPPUNIT_ASSERT(log.state.claim("key")->outcome == base::run_state::ran);
        CPPUNIT_ASSERT(log.state.claim("key")->body.empty());
    }

    void keysExpireByRecordTime()
    {
        state_fixture log;
        log.add(claim("1", "a"));
        log.add(heartbeat("a", start + 2 * hour));
        CPPUNIT_ASSERT(log.state.claim("key"));
        log.add(heartbeat("a", start + 3 * hour));
        CPPUNIT_ASSERT(!log.state.claim("key"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), log.state.claimCount());
    }

    void oneWrongClockExpiresNoKey()
    {
        state_fixture log;
        log.add(heartbeat("b", start));
        log.add(heartbeat("c", start));
        log.add(claim("1", "a", start + 1000 * hour));
        log.add(heartbeat("a", start + 2000 * hour));
        CPPUNIT_ASSERT(log.state.claim("key"));
        CPPUNIT_ASSERT(log.state.recordTime() == start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_table_test);
