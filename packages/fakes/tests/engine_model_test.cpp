#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fakes/in_process_engine_control.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using external::command_status;
using external::engine_action;

/// Guards against an engine fake that would hide overcommitted memory, or accept commands from a former owner.
class engine_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_model_test);
    CPPUNIT_TEST(countsMemoryUntilTheUnloadEnds);
    CPPUNIT_TEST(appliesLateCommandsWhenTheyArrive);
    CPPUNIT_TEST(refusesOldTokensOnlyWithFencingChecks);
    CPPUNIT_TEST(delaysReportsByTheLag);
    CPPUNIT_TEST(losesAllStateOnRestart);
    CPPUNIT_TEST(slowsLoadsBeyondTheStoresSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    // CppUnit constructs all fixtures before the first test, so the time source is installed here.
    void setUp() override
    {
        m_time.emplace();
        m_engine = std::make_shared<fakes::engine_model>(hundredByteOptions());
    }

    void tearDown() override
    {
        m_time.reset();
    }

    void countsMemoryUntilTheUnloadEnds()
    {
        send(*m_engine, engine_action::load, "a@1", 60, 1);
        m_time->advance(base::milliseconds(2'000));
        send(*m_engine, engine_action::unload, "a@1", 0, 1);
        send(*m_engine, engine_action::load, "b@1", 60, 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(120), m_engine->highestUsed().count());
        CPPUNIT_ASSERT(m_engine->wasOvercommitted());
        m_time->advance(base::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(60), m_engine->used().count());
    }

    void appliesLateCommandsWhenTheyArrive()
    {
        fakes::in_process_engine_control control(7);
        const net::address address{"127.0.0.1", 1};
        control.add(address, m_engine);
        fakes::engine_faults faults;
        faults.lateCommands = 1;
        control.setFaults(address, faults);
        const external::engine_command load{engine_action::load, base::item_id("a@1"), base::byte_count(90), base::log_offset(1)};
        CPPUNIT_ASSERT(control.sendNow(address, load) == command_status::unknown);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), m_engine->used().count());
        send(*m_engine, engine_action::load, "b@1", 20, 1);
        m_time->advance(base::milliseconds(6'000));
        CPPUNIT_ASSERT(m_engine->wasOvercommitted());
    }

    void refusesOldTokensOnlyWithFencingChecks()
    {
        fakes::engine_options uncheckedOptions;
        uncheckedOptions.checksFencing = false;
        fakes::engine_model uncheckedEngine(uncheckedOptions);
        for (fakes::engine_model *engine : {m_engine.get(), &uncheckedEngine}) {
            CPPUNIT_ASSERT(send(*engine, engine_action::fence, "", 0, 5) == command_status::accepted);
        }
        CPPUNIT_ASSERT(send(*m_engine, engine_action::load, "a@1", 10, 4) == command_status::refused);
        CPPUNIT_ASSERT(send(uncheckedEngine, engine_action::load, "a@1", 10, 4) == command_status::accepted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), m_engine->report().fencingToken.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), uncheckedEngine.report().fencingToken.count());
    }

    void delaysReportsByTheLag()
    {
        m_engine->setReportLag(base::milliseconds(500));
        send(*m_engine, engine_action::load, "a@1", 10, 1);
        m_time->advance(base::milliseconds(499));
        CPPUNIT_ASSERT(m_engine->report().items.empty());
        m_time->advance(base::milliseconds(1));
        CPPUNIT_ASSERT(!m_engine->report().items.at(0).loaded);
        // The load ends after 2 s and appears in the report 500 ms later, regardless of when the report is read.
        m_time->advance(base::milliseconds(2'000));
        CPPUNIT_ASSERT(m_engine->report().items.at(0).loaded);
    }

    void losesAllStateOnRestart()
    {
        send(*m_engine, engine_action::load, "a@1", 10, 9);
        m_engine->restart();
        const external::engine_report report = m_engine->report();
        CPPUNIT_ASSERT(report.items.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), report.fencingToken.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), report.incarnation.count());
    }

    void slowsLoadsBeyondTheStoresSlots()
    {
        external::weight_store_status limits;
        limits.loadsPerSecond = 1'000;
        fakes::weight_store_model store(limits);
        for (int load = 0; load < 4; ++load) {
            CPPUNIT_ASSERT(store.beginModelLoad() <= base::milliseconds(4 + load));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4 + 8), std::int64_t(store.beginModelLoad().count() + 3));
        CPPUNIT_ASSERT_EQUAL(5, store.status().inTransit);
    }

private:
    static command_status send(fakes::engine_model &engine, engine_action action, const std::string &item, std::int64_t bytes, std::int64_t token)
    {
        return engine.apply({action, base::item_id(item), base::byte_count(bytes), base::log_offset(token)});
    }

    static fakes::engine_options hundredByteOptions()
    {
        fakes::engine_options options;
        options.memory = base::byte_count(100);
        return options;
    }

    std::optional<base::manual_time_source> m_time;
    std::shared_ptr<fakes::engine_model> m_engine;
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_model_test);
