#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace chervilbend;
using namespace chervilbend::fleet;

namespace
{

endpoint_change entryOf(const std::string &id, std::int64_t startedAt = 1, std::int64_t heartbeat = 1, bool draining = false)
{
    endpoint_change change;
    change.id = base::endpoint_id(id);
    change.entry.emplace();
    change.entry->id = change.id;
    change.entry->service = base::service_id("desk");
    change.entry->startedAt = startedAt;
    change.entry->heartbeat = heartbeat;
    change.entry->draining = draining;
    return change;
}

endpoint_change endOf(const std::string &id)
{
    return {base::endpoint_id(id), std::nullopt};
}

} // namespace

/// Guards against requests to endpoints that leave, and against an outage of the store that removes live endpoints.
class endpoint_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_registry_test);
    CPPUNIT_TEST(endedRegistrationIsRemovedAtOnce);
    CPPUNIT_TEST(expiredEndpointIsUsedUntilTheGraceEnds);
    CPPUNIT_TEST(drainingEndpointGetsNoGrace);
    CPPUNIT_TEST(newProcessUnderTheSameIdIsAChange);
    CPPUNIT_TEST(snapshotRemovesUnlistedEndpoints);
    CPPUNIT_TEST(tracksWhenAnEntryWasWritten);
    CPPUNIT_TEST(slowReadDoesNotMakeTheNextEntryNewer);
    CPPUNIT_TEST_SUITE_END();

    /// Created per test, because CppUnit constructs all fixtures before it runs the first test.
    std::optional<base::manual_time_source> m_time;
    endpoint_registry m_registry;

    bool knows(const std::string &id) const
    {
        return m_registry.endpoints().contains(base::endpoint_id(id));
    }

    void advance(int ms)
    {
        m_time->advance(base::milliseconds(ms));
    }

public:
    void setUp() override
    {
        m_time.emplace();
    }

    void tearDown() override
    {
        m_time.reset();
    }

    void endedRegistrationIsRemovedAtOnce()
    {
        m_registry.apply({entryOf("i-1")}, base::clock::now(), base::clock::now());
        advance(1'000);
        CPPUNIT_ASSERT(m_registry.apply({endOf("i-1")}, base::clock::now(), base::clock::now()).contains(base::endpoint_id("i-1")));
        CPPUNIT_ASSERT(!knows("i-1"));
    }

    void expiredEndpointIsUsedUntilTheGraceEnds()
    {
        m_registry.apply({entryOf("i-1"), entryOf("i-2")}, base::clock::now(), base::clock::now());
        m_registry.noteStoreUnavailable(base::clock::now());
        advance(5'000);
        m_registry.apply({endOf("i-1"), endOf("i-2")}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT(knows("i-1") && knows("i-2"));
        advance(1'000);
        m_registry.apply({entryOf("i-1", 1, 2)}, base::clock::now(), base::clock::now());
        advance(1'500);
        CPPUNIT_ASSERT(m_registry.apply({}, base::clock::now(), base::clock::now()).contains(base::endpoint_id("i-2")));
        CPPUNIT_ASSERT_MESSAGE("the live endpoint has registered again", knows("i-1") && !knows("i-2"));
    }

    void drainingEndpointGetsNoGrace()
    {
        m_registry.apply({entryOf("i-1", 1, 1, true)}, base::clock::now(), base::clock::now());
        m_registry.noteStoreUnavailable(base::clock::now());
        advance(2'000);
        m_registry.apply({endOf("i-1")}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT(!knows("i-1"));
    }

    void newProcessUnderTheSameIdIsAChange()
    {
        m_registry.apply({entryOf("i-1", 5)}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT(m_registry.apply({entryOf("i-1", 6)}, base::clock::now(), base::clock::now()).contains(base::endpoint_id("i-1")));
        CPPUNIT_ASSERT_MESSAGE("a late entry of the old process is ignored",
                               m_registry.apply({entryOf("i-1", 5, 9)}, base::clock::now(), base::clock::now()).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), m_registry.endpoints().at(base::endpoint_id("i-1")).entry.startedAt);
    }

    void snapshotRemovesUnlistedEndpoints()
    {
        m_registry.apply({entryOf("i-1"), entryOf("i-2")}, base::clock::now(), base::clock::now());
        const auto changed = m_registry.replace({entryOf("i-2")}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT(changed.contains(base::endpoint_id("i-1")) && !knows("i-1") && knows("i-2"));
    }

    void tracksWhenAnEntryWasWritten()
    {
        m_registry.replace({entryOf("i-1", 1, 4)}, base::clock::now(), base::clock::now());
        const auto &known = m_registry.endpoints().at(base::endpoint_id("i-1"));
        CPPUNIT_ASSERT_MESSAGE("the age of an entry is unknown when it is first read", known.writtenAfter == base::time_point{});
        const base::time_point before = base::clock::now();
        advance(800);
        m_registry.apply({entryOf("i-1", 1, 5)}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT(known.writtenAfter == before);
        advance(800);
        m_registry.replace({entryOf("i-1", 1, 5)}, base::clock::now(), base::clock::now());
        CPPUNIT_ASSERT_MESSAGE("reading the same entry again does not make it newer", known.writtenAfter == before);
    }

    /// An entry that was written before a command would be taken for one that shows its effect, and what the command loaded would count as gone.
    void slowReadDoesNotMakeTheNextEntryNewer()
    {
        m_registry.replace({entryOf("i-1", 1, 4)}, base::clock::now(), base::clock::now());
        const base::time_point requested = base::clock::now();
        advance(900);
        m_registry.apply({}, base::clock::now(), requested);
        const base::time_point requestedNext = base::clock::now();
        advance(10);
        m_registry.apply({entryOf("i-1", 1, 5)}, base::clock::now(), requestedNext);
        CPPUNIT_ASSERT(m_registry.endpoints().at(base::endpoint_id("i-1")).writtenAfter == requested);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_registry_test);
