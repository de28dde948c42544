#include "memory_store.hpp"

#include <chervilbend/fakes/virtual_time.hpp>
#include <chervilbend/fleet/command_dispatcher.hpp>
#include <chervilbend/fleet/command_lease.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;
namespace asio = boost::asio;

namespace
{

const base::endpoint_id engineId("i-1");

/// An engine that answers commands with the given results in their order, then by their count of commands, and reports the given status.
class scripted_engine : public engine_commands
{
public:
    asio::awaitable<command_result> send(net::address /*engine*/, base::endpoint_id /*instance*/, engine_command command) override
    {
        sent.push_back(command);
        if (results.empty()) {
            co_return command.expectedCommands == reported.commands ? command_result::accepted : command_result::conflict;
        }
        const command_result result = results.front();
        results.pop_front();
        co_return result;
    }

    asio::awaitable<std::optional<engine_status>> status(net::address /*engine*/, base::endpoint_id /*instance*/) override
    {
        co_return reported;
    }

    std::deque<command_result> results;
    engine_status reported;
    std::vector<engine_command> sent;
};

engine_rule sampleRule()
{
    engine_rule rule;
    rule.memoryMb = 83'000;
    rule.adapterSlots = 4;
    for (const char *name : {"old", "new"}) {
        model_rule &model = rule.models.emplace_back();
        model.name = name;
        model.weightMb = 34'300;
    }
    return rule;
}

/// The dispatcher of a node that holds the lease, with an engine that holds the model "old" and has accepted three commands.
struct dispatcher_fixture {
    dispatcher_fixture()
    {
        asio::co_spawn(context, lease.run(), asio::detached);
        engine.reported.models = {{"old", {}}};
        engine.reported.commands = 3;
        registerWith({"old"});
        time.advance(base::milliseconds(4'000));
        dispatcher.queryState(engineId);
        time.advance(base::milliseconds(1'500));
        CPPUNIT_ASSERT(lease.mayCommand() && inventory.find(engineId)->commands == 3);
    }

    static command_lease_options options()
    {
        command_lease_options options;
        options.node = base::node_id("n");
        options.incarnation = 1;
        options.peerAddress = "127.0.0.1:1";
        return options;
    }

    /// The engine's registration names these models.
    void registerWith(const std::vector<std::string> &models)
    {
        endpoint_registry::known_endpoint known;
        known.entry.id = engineId;
        known.entry.service = base::service_id("chat");
        known.entry.startedAt = 1;
        for (const std::string &name : models) {
            known.entry.models.push_back({name, {}});
        }
        known.readAt = base::clock::now();
        inventory.sync(known);
    }

    void load(const std::string &model)
    {
        CPPUNIT_ASSERT(inventory.startLoad(engineId, rule, model, {}));
        dispatcher.enqueue(engineId, {engine_action::load, model, {}, base::milliseconds(300), "test"});
    }

    void unload(const std::string &model)
    {
        CPPUNIT_ASSERT(inventory.startUnload(engineId, model, {}));
        dispatcher.enqueue(engineId, {engine_action::unload, model, {}, base::milliseconds(0), "test"});
    }

    asio::io_context context;
    fakes::virtual_time time{context};
    test::store_content content;
    test::memory_store store{content};
    command_lease lease{store, options()};
    const engine_rule rule = sampleRule();
    scripted_engine engine;
    engine_inventory inventory;
    command_dispatcher dispatcher{context.get_executor(), engine, inventory, lease, [this](const base::service_id &) {
                                      return &rule;
                                  }};
};

} // namespace

/// Guards against outcomes of commands that are taken from those of others.
class command_dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_dispatcher_test);
    CPPUNIT_TEST(lostAnswerOfOneCommandIsNotThatOfTheNext);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The answer to a load is lost, the engine is out of reach until its registration shows the model, and the next command meets a count of commands that is
    /// one higher: that one would count as accepted, and the model that it unloads as leaving for good.
    void lostAnswerOfOneCommandIsNotThatOfTheNext()
    {
        dispatcher_fixture fixture;
        fixture.engine.results = {command_result::unknown, command_result::notSent, command_result::notSent};
        fixture.load("new");
        fixture.time.advance(base::milliseconds(130));
        fixture.engine.reported.models = {{"old", {}}, {"new", {}}};
        fixture.engine.reported.commands = 4;
        fixture.registerWith({"old", "new"});
        fixture.time.advance(base::milliseconds(200));
        CPPUNIT_ASSERT(stateOf(*fixture.inventory.find(engineId), "new", {}) == item_state::loaded);

        fixture.engine.sent.clear();
        fixture.unload("old");
        fixture.time.advance(base::milliseconds(3'000));
        CPPUNIT_ASSERT(!fixture.engine.sent.empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the command was not sent with the engine's count", std::int64_t(4), *fixture.engine.sent.back().expectedCommands);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_dispatcher_test);
