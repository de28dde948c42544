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

/// Guards against requests to endpoints that leave, and against a store's outage that empties the list of living ones.
class endpoint_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_registry_test);
    CPPUNIT_TEST(endedRegistrationIsGoneAtOnce);
    CPPUNIT_TEST(lapsedEndpointIsUsedUntilTheGraceEnds);
    CPPUNIT_TEST(drainingIsNeverALapse);
    CPPUNIT_TEST(newProcessUnderTheSameIdIsAChange);
    CPPUNIT_TEST(wholeReadEndsWhatItDoesNotName);
    CPPUNIT_TEST(knowsWhetherAnEntryIsFresh);
    CPPUNIT_TEST_SUITE_END();

    /// Made for each test: CppUnit constructs all fixtures before it runs the first.
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

    void endedRegistrationIsGoneAtOnce()
    {
        m_registry.apply({entryOf("i-1")}, base::clock::now());
        advance(1'000);
        CPPUNIT_ASSERT(m_registry.apply({endOf("i-1")}, base::clock::now()).contains(base::endpoint_id("i-1")));
        CPPUNIT_ASSERT(!knows("i-1"));
    }

    void lapsedEndpointIsUsedUntilTheGraceEnds()
    {
        m_registry.apply({entryOf("i-1"), entryOf("i-2")}, base::clock::now());
        m_registry.noteAway(base::clock::now());
        advance(5'000);
        m_registry.apply({endOf("i-1"), endOf("i-2")}, base::clock::now());
        CPPUNIT_ASSERT(knows("i-1") && knows("i-2"));
        advance(1'000);
        m_registry.apply({entryOf("i-1", 1, 2)}, base::clock::now());
        advance(1'500);
        CPPUNIT_ASSERT(m_registry.apply({}, base::clock::now()).contains(base::endpoint_id("i-2")));
        CPPUNIT_ASSERT_MESSAGE("the living one has registered again", knows("i-1") && !knows("i-2"));
    }

    void drainingIsNeverALapse()
    {
        m_registry.apply({entryOf("i-1", 1, 1, true)}, base::clock::now());
        m_registry.noteAway(base::clock::now());
        advance(2'000);
        m_registry.apply({endOf("i-1")}, base::clock::now());
        CPPUNIT_ASSERT(!knows("i-1"));
    }

    void newProcessUnderTheSameIdIsAChange()
    {
        m_registry.apply({entryOf("i-1", 5)}, base::clock::now());
        CPPUNIT_ASSERT(m_registry.apply({entryOf("i-1", 6)}, base::clock::now()).contains(base::endpoint_id("i-1")));
        CPPUNIT_ASSERT_MESSAGE("an entry of the old process that comes late is passed over",
                               m_registry.apply({entryOf("i-1", 5, 9)}, base::clock::now()).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), m_registry.endpoints().at(base::endpoint_id("i-1")).entry.startedAt);
    }

    void wholeReadEndsWhatItDoesNotName()
    {
        m_registry.apply({entryOf("i-1"), entryOf("i-2")}, base::clock::now());
        const auto changed = m_registry.replace({entryOf("i-2")}, base::clock::now());
        CPPUNIT_ASSERT(changed.contains(base::endpoint_id("i-1")) && !knows("i-1") && knows("i-2"));
    }

    void knowsWhetherAnEntryIsFresh()
    {
        m_registry.replace({entryOf("i-1", 1, 4)}, base::clock::now());
        const auto &known = m_registry.endpoints().at(base::endpoint_id("i-1"));
        CPPUNIT_ASSERT_MESSAGE("an entry may be old when it is first read", known.writtenAfter == base::time_point{});
        const base::time_point before = base::clock::now();
        advance(800);
        m_registry.apply({entryOf("i-1", 1, 5)}, base::clock::now());
        CPPUNIT_ASSERT(known.writtenAfter == before);
        advance(800);
        m_registry.replace({entryOf("i-1", 1, 5)}, base::clock::now());
        CPPUNIT_ASSERT_MESSAGE("the same entry again is no fresher", known.writtenAfter == before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_registry_test);
