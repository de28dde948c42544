#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/routing/unreachable_endpoints.hpp>
#include <chervilbend/routing/unreachable_reports.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::routing;
using base::milliseconds;

namespace
{

using processes = std::vector<endpoint_process>;

endpoint_process process(int number, std::int64_t startedAt = 1)
{
    return {base::endpoint_id(std::string("e").append(std::to_string(number))), startedAt};
}

base::node_id node(int number)
{
    return base::node_id(std::string("n").append(std::to_string(number)));
}

/// Longer than a list is reused for.
constexpr milliseconds listAge{60};
constexpr milliseconds reportLifetime{2'000};
constexpr milliseconds nodeLifetime{5'000};

} // namespace

/// Guards against endpoints that all nodes stop using because a single node cannot reach them.
class unreachable_reports_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unreachable_reports_test);
    CPPUNIT_TEST(twoNodesMustReport);
    CPPUNIT_TEST(oneNodeIsEnoughAmongFew);
    CPPUNIT_TEST(newHolderDoesNotTakeThePlaceOfFewNodes);
    CPPUNIT_TEST(reportsEnd);
    CPPUNIT_TEST(processesAreDistinguished);
    CPPUNIT_TEST(listIsBounded);
    CPPUNIT_TEST(ownRefusalsAreReportedForAWhile);
    CPPUNIT_TEST(responseEndsOwnFinding);
    CPPUNIT_TEST(responseDuringTheExchangeCounts);
    CPPUNIT_TEST(eachProcessIsNotedOnce);
    CPPUNIT_TEST_SUITE_END();

    /// All of the nodes report that they have met nothing.
    static void reportNothing(unreachable_reports &reports, int nodes)
    {
        for (int i = 0; i < nodes; ++i) {
            reports.noteReport(node(i), {});
        }
    }

public:
    void twoNodesMustReport()
    {
        base::manual_time_source clock;
        unreachable_reports reports;
        clock.advance(nodeLifetime);
        reportNothing(reports, 62);
        reports.noteReport(node(1), {process(0), process(0), process(1)});
        CPPUNIT_ASSERT(reports.listFor(node(7)).empty());
        clock.advance(listAge);
        reports.noteReport(node(2), {process(0)});
        CPPUNIT_ASSERT(reports.listFor(node(7)) == processes{process(0)});
    }

    void oneNodeIsEnoughAmongFew()
    {
        base::manual_time_source clock;
        unreachable_reports reports;
        clock.advance(nodeLifetime);
        reportNothing(reports, 3);
        reports.noteReport(node(1), {process(0)});
        CPPUNIT_ASSERT(reports.listFor(node(2)) == processes{process(0)});
        CPPUNIT_ASSERT_MESSAGE("its own report is no news to a node", reports.listFor(node(1)).empty());
        clock.advance(listAge);
        reportNothing(reports, 4);
        reports.noteReport(node(1), {process(0)});
        CPPUNIT_ASSERT(reports.listFor(node(2)).empty());
    }

    void newHolderDoesNotTakeThePlaceOfFewNodes()
    {
        base::manual_time_source clock;
        unreachable_reports reports;
        clock.advance(nodeLifetime);
        reportNothing(reports, 62);
        reports.start();
        reports.noteReport(node(1), {process(0)});
        CPPUNIT_ASSERT_MESSAGE("the other nodes have not reported yet", reports.listFor(node(2)).empty());
        clock.advance(nodeLifetime);
        reports.noteReport(node(1), {process(0)});
        CPPUNIT_ASSERT(reports.listFor(node(2)) == processes{process(0)});
    }

    void reportsEnd()
    {
        base::manual_time_source clock;
        unreachable_reports reports;
        reportNothing(reports, 62);
        reports.noteReport(node(1), {process(0)});
        reports.noteReport(node(2), {process(0)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.listFor(node(7)).size());
        clock.advance(listAge);
        reports.noteReport(node(2), {});
        CPPUNIT_ASSERT_MESSAGE("a node has taken it back", reports.listFor(node(7)).empty());
        clock.advance(listAge);
        reports.noteReport(node(2), {process(0)});
        reports.noteReport(node(1), {process(0)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.listFor(node(7)).size());
        clock.advance(reportLifetime + milliseconds(1));
        reports.noteReport(node(2), {process(0)});
        CPPUNIT_ASSERT_MESSAGE("reports are 2 s apart", reports.listFor(node(7)).empty());
    }

    void processesAreDistinguished()
    {
        const base::manual_time_source clock;
        unreachable_reports reports;
        reportNothing(reports, 62);
        reports.noteReport(node(1), {process(0, 1)});
        reports.noteReport(node(2), {process(0, 2)});
        CPPUNIT_ASSERT(reports.listFor(node(7)).empty());
    }

    void listIsBounded()
    {
        const base::manual_time_source clock;
        unreachable_reports reports;
        processes many;
        for (int i = 0; i < 100; ++i) {
            many.push_back(process(i));
        }
        const processes first(many.begin(), many.begin() + 50);
        const processes second(many.begin() + 50, many.end());
        for (int i = 0; i < 4; ++i) {
            reports.noteReport(node(i), i < 2 ? first : second);
        }
        reports.noteReport(node(4), {process(60)});
        const processes listed = reports.listFor(node(7));
        CPPUNIT_ASSERT_EQUAL(unreachable_endpoints::maxListed, listed.size());
        CPPUNIT_ASSERT_MESSAGE("the one with most reports comes first", listed.front() == process(60));
        unreachable_endpoints own;
        for (const endpoint_process &each : many) {
            own.noteRefusedConnection(each);
        }
        CPPUNIT_ASSERT_EQUAL(unreachable_endpoints::maxListed, own.own().size());
    }

    void ownRefusalsAreReportedForAWhile()
    {
        base::manual_time_source clock;
        unreachable_endpoints unreachable;
        unreachable.noteRefusedConnection(process(0));
        clock.advance(milliseconds(1'000));
        unreachable.noteRefusedConnection(process(1));
        CPPUNIT_ASSERT((unreachable.own() == processes{process(1), process(0)}));
        clock.advance(milliseconds(1'001));
        CPPUNIT_ASSERT((unreachable.own() == processes{process(1)}));
    }

    void responseEndsOwnFinding()
    {
        const base::manual_time_source clock;
        unreachable_endpoints unreachable;
        unreachable.noteRefusedConnection(process(0));
        unreachable.noteResponse(process(0));
        CPPUNIT_ASSERT(unreachable.own().empty());
    }

    /// Guards against an endpoint that is avoided because of reports that are older than its response to this node.
    void responseDuringTheExchangeCounts()
    {
        base::manual_time_source clock;
        unreachable_endpoints unreachable;
        unreachable.noteResponse(process(0));
        clock.advance(milliseconds(10));
        const base::time_point requestedAt = base::clock::now();
        clock.advance(milliseconds(5));
        unreachable.noteResponse(process(1));
        clock.advance(milliseconds(5));
        unreachable.setListed({process(0), process(1)}, 1, requestedAt);
        CPPUNIT_ASSERT(unreachable.isReported(process(0)));
        CPPUNIT_ASSERT(!unreachable.isReported(process(1)));
    }

    void eachProcessIsNotedOnce()
    {
        base::manual_time_source clock;
        unreachable_endpoints unreachable;
        std::vector<std::pair<endpoint_process, unreachable_reporter>> notes;
        unreachable.onNote([&](const endpoint_process &noted, unreachable_reporter reporter) { notes.emplace_back(noted, reporter); });
        unreachable.noteRefusedConnection(process(0));
        unreachable.setListed({process(0), process(1)}, 1, base::clock::now());
        clock.advance(milliseconds(10'000));
        unreachable.noteRefusedConnection(process(1));
        unreachable.setListed({process(0)}, 1, base::clock::now());
        unreachable.setListed({process(0, 2)}, 1, base::clock::now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), notes.size());
        CPPUNIT_ASSERT(notes[0].first == process(0) && notes[0].second == unreachable_reporter::self);
        CPPUNIT_ASSERT(notes[1].first == process(1) && notes[1].second == unreachable_reporter::others);
        CPPUNIT_ASSERT(notes[2].first == process(0, 2) && notes[2].second == unreachable_reporter::others);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unreachable_reports_test);
