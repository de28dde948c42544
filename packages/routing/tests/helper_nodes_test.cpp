#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/helper_nodes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>

using namespace chervilbend;
using namespace chervilbend::routing;

/// Guards against a node that reaches no endpoint being sent to others that cannot help, and against all such nodes being sent to the same one.
class helper_nodes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(helper_nodes_test);
    CPPUNIT_TEST(namesHelpersOfTheOwnZoneAndOfOthers);
    CPPUNIT_TEST(nodesThatCannotHelpAreNotNamed);
    CPPUNIT_TEST(silentNodesAreForgotten);
    CPPUNIT_TEST(helpersAreNamedInRotation);
    CPPUNIT_TEST_SUITE_END();

    static void report(helper_nodes &holder, const std::string &id, const std::string &zone, bool canHelp)
    {
        holder.noteReport(base::node_id(id), {std::string(id).append(":1"), base::zone_id(zone), canHelp});
    }

    static std::set<std::string> named(helper_nodes &holder, const std::string &id)
    {
        std::set<std::string> addresses;
        for (const helper_node &helper : holder.chooseFor(base::node_id(id))) {
            addresses.insert(helper.address);
        }
        return addresses;
    }

    static helper_nodes holderIn(const std::string &zone)
    {
        helper_nodes holder;
        holder.setOwn(base::node_id("h"), {"h:1", base::zone_id(zone), true});
        return holder;
    }

public:
    void namesHelpersOfTheOwnZoneAndOfOthers()
    {
        base::manual_time_source clock;
        helper_nodes holder = holderIn("b");
        report(holder, "a1", "a", false);
        report(holder, "a2", "a", true);
        CPPUNIT_ASSERT(named(holder, "a1") == (std::set<std::string>{"a2:1", "h:1"}));
        CPPUNIT_ASSERT_MESSAGE("not itself", named(holder, "a2") == (std::set<std::string>{"h:1"}));
    }

    void nodesThatCannotHelpAreNotNamed()
    {
        base::manual_time_source clock;
        helper_nodes holder = holderIn("a");
        holder.setCanHelp(false);
        report(holder, "a1", "a", false);
        report(holder, "a2", "a", false);
        CPPUNIT_ASSERT(named(holder, "a1").empty());
        report(holder, "a2", "a", true);
        CPPUNIT_ASSERT(named(holder, "a1") == (std::set<std::string>{"a2:1"}));
    }

    void silentNodesAreForgotten()
    {
        base::manual_time_source clock;
        helper_nodes holder = holderIn("b");
        report(holder, "a2", "a", true);
        clock.advance(base::milliseconds(30'000));
        report(holder, "a1", "a", true);
        CPPUNIT_ASSERT(named(holder, "a1") == (std::set<std::string>{"h:1"}));
    }

    void helpersAreNamedInRotation()
    {
        base::manual_time_source clock;
        helper_nodes holder = holderIn("b");
        for (int i = 0; i < 12; ++i) {
            report(holder, std::string(1, static_cast<char>(97 + i)), "a", true);
        }
        std::set<std::string> all;
        for (int i = 0; i < 12; ++i) {
            const std::set<std::string> some = named(holder, "x");
            CPPUNIT_ASSERT(some.size() <= 4);
            all.insert(some.begin(), some.end());
        }
        CPPUNIT_ASSERT(all.size() >= 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(helper_nodes_test);
