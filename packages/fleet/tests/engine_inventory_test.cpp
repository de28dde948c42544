#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fleet/engine_inventory.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace chervilbend;
using namespace chervilbend::fleet;

namespace
{

const base::endpoint_id engineId("i-1");

engine_rule sampleRule()
{
    engine_rule rule;
    rule.memoryMb = 83'000;
    rule.adapterSlots = 1;
    model_rule &model = rule.models.emplace_back();
    model.name = "tall";
    model.weightMb = 34'300;
    model.adapterMb = 40;
    return rule;
}

/// A registration with the model and the given adapters.
endpoint_registry::known_endpoint entryWith(const std::vector<std::string> &adapters)
{
    endpoint_registry::known_endpoint known;
    known.entry.id = engineId;
    known.entry.startedAt = 1;
    known.entry.models = {{"tall", adapters}};
    known.readAt = base::clock::now();
    return known;
}

engine_status statusWith(std::int64_t commands, const std::vector<std::string> &adapters)
{
    engine_status status;
    status.models = {{"tall", adapters}};
    status.commands = commands;
    status.startedAt = 1;
    return status;
}

} // namespace

/// Guards against an inventory that lacks what an engine holds, so that more is loaded than the engine has room for.
class engine_inventory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_inventory_test);
    CPPUNIT_TEST(entryDoesNotRemoveWhatACommandLoaded);
    CPPUNIT_TEST(statusRemovesWhatTheEngineHasLost);
    CPPUNIT_TEST_SUITE_END();

    /// Created per test, because CppUnit constructs all fixtures before it runs the first test.
    std::optional<base::manual_time_source> m_time;
    std::optional<engine_inventory> m_inventory;
    const engine_rule m_rule = sampleRule();

    void advance(int ms)
    {
        m_time->advance(base::milliseconds(ms));
    }

    bool holdsAdapter() const
    {
        return stateOf(*m_inventory->find(engineId), "tall", "a1") == item_state::loaded;
    }

    bool knowsCommands() const
    {
        return m_inventory->find(engineId)->commands.has_value();
    }

    /// Reads the engine's status until the number of its commands is known.
    void readStatus(std::int64_t commands, const std::vector<std::string> &adapters)
    {
        for (int i = 0; i < 2; ++i) {
            advance(500);
            m_inventory->reconcile(engineId, statusWith(commands, adapters));
        }
    }

public:
    void setUp() override
    {
        m_time.emplace();
        m_inventory.emplace();
        m_inventory->sync(entryWith({}));
        readStatus(3, {});
        CPPUNIT_ASSERT(knowsCommands());
        CPPUNIT_ASSERT(m_inventory->startLoad(engineId, m_rule, "tall", "a1"));
        m_inventory->recordCommand(engineId, true);
        m_inventory->finishLoad(engineId, "tall", "a1");
    }

    void tearDown() override
    {
        m_inventory.reset();
        m_time.reset();
    }

    /// The engine wrote the entry before the command, and the store, which is slow, accepted it after.
    void entryDoesNotRemoveWhatACommandLoaded()
    {
        advance(600);
        endpoint_registry::known_endpoint late = entryWith({});
        late.writtenAfter = base::clock::now();
        m_inventory->sync(late);
        CPPUNIT_ASSERT(holdsAdapter());
        CPPUNIT_ASSERT_MESSAGE("the engine is asked before it gets another command", !knowsCommands());
        CPPUNIT_ASSERT(!m_inventory->startLoad(engineId, m_rule, "tall", "a2"));
    }

    void statusRemovesWhatTheEngineHasLost()
    {
        entryDoesNotRemoveWhatACommandLoaded();
        readStatus(4, {});
        CPPUNIT_ASSERT(!holdsAdapter() && knowsCommands());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_inventory_test);
