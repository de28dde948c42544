#include "test_director.hpp"

#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/routing_feed.hpp>
#include <chervilbend/state/record_codec.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace chervilbend;
using namespace chervilbend::node;

namespace
{

/// Records the pools that each endpoint serves at present.
class facts_recorder : public test::test_director
{
public:
    void setEndpoint(const routing::endpoint_facts &facts) override
    {
        pools[facts.endpoint.value()] = {facts.pools.begin(), facts.pools.end()};
    }

    std::map<std::string, std::set<std::string>> pools;
};

} // namespace

/// Guards against a version change after which no endpoint serves a model or adapter until the new version is loaded.
class routing_feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_feed_test);
    CPPUNIT_TEST(servesOldVersionUntilNewOneIsLoaded);
    CPPUNIT_TEST_SUITE_END();

public:
    void servesOldVersionUntilNewOneIsLoaded()
    {
        m_feed.hostsChanged({engine("e1"), engine("e2")});
        publish("1", "1");
        report("e1", {"m@1", "m@1/a@1"}, true);
        CPPUNIT_ASSERT((m_director.pools["e1"] == std::set<std::string>{"m@1", "m@1/a@1"}));
        publish("1", "2");
        CPPUNIT_ASSERT((m_director.pools["e1"] == std::set<std::string>{"m@1", "m@1/a@1", "m@1/a@2"}));
        publish("2", "2");
        CPPUNIT_ASSERT((m_director.pools["e1"] == std::set<std::string>{"m@1", "m@1/a@1", "m@2", "m@2/a@2"}));
        report("e2", {"m@2"}, false);
        CPPUNIT_ASSERT_MESSAGE("an item that is still loading counts as served", m_director.pools["e1"].contains("m@2"));
        report("e2", {"m@2"}, true);
        CPPUNIT_ASSERT((m_director.pools["e1"] == std::set<std::string>{"m@1", "m@1/a@1", "m@2/a@2"}));
        CPPUNIT_ASSERT((m_director.pools["e2"] == std::set<std::string>{"m@2"}));
        m_feed.reportMissed(base::endpoint_id("e2"), 5);
        CPPUNIT_ASSERT_MESSAGE("the old version does not serve the pool after the new one became unavailable", m_director.pools["e1"].contains("m@2"));
    }

private:
    static external::host_entry engine(const std::string &id)
    {
        external::host_entry host;
        host.id = id;
        host.kind = external::host_kind::modelEngine;
        host.zone = base::zone_id("a");
        return host;
    }

    void publish(const std::string &modelVersion, const std::string &adapterVersion)
    {
        config::service_declaration declaration;
        declaration.service = base::service_id("s");
        declaration.models.push_back({"m", modelVersion, base::byte_count(1), base::byte_count(1), 1, 50, {{"a", adapterVersion, base::byte_count(1)}}});
        const state::entry entry = state::publish_entry{m_state.appliedOffset(), modelVersion + adapterVersion, "author", declaration};
        m_state.apply(m_state.appliedOffset() + base::log_offset(1), state::encodeRecord({&entry, 1}));
        m_feed.stateChanged();
    }

    void report(const std::string &endpoint, const std::vector<std::string> &items, bool loaded)
    {
        external::engine_report report;
        for (const std::string &item : items) {
            report.items.push_back({base::item_id(item), base::byte_count(1), loaded});
        }
        m_feed.reportArrived(base::endpoint_id(endpoint), report);
    }

    facts_recorder m_director;
    endpoint_directory m_directory;
    state::replicated_state m_state;
    routing_feed m_feed{m_director, m_directory, m_state, base::zone_id("a"), 0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_feed_test);
