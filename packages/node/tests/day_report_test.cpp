#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/node/operators/queries/day_method.hpp>
#include <chervilbend/node/reports/day_counters.hpp>
#include <chervilbend/node/reports/day_page.hpp>
#include <chervilbend/node/reports/day_text.hpp>
#include <chervilbend/node/reports/minute_counters.hpp>
#include <chervilbend/node/reports/recent_days.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <golden.hpp>

#include <algorithm>
#include <random>

using namespace chervilbend;
using namespace chervilbend::node;
using base::milliseconds;
using base::work_class;

namespace
{

/// 2026-01-01 00:00 UTC, a Thursday.
constexpr milliseconds day{1'767'225'600'000};
constexpr milliseconds nextDay = day + milliseconds(86'400'000);
constexpr milliseconds evening = nextDay + milliseconds(3'600'000);

state::minute_counts_entry entryOf(const std::string &node, int minute, std::int64_t incarnation = 1)
{
    return {base::node_id(node), base::incarnation(incarnation), day + milliseconds(std::int64_t{60'000} * minute), {}};
}

/// A minute with more requests during the day than at night.
state::minute_counts_entry busyMinute(const std::string &node, int minute)
{
    state::minute_counts_entry entry = entryOf(node, minute);
    const std::int64_t requests = minute >= 480 && minute < 1'200 ? 40 : 10;
    entry.counts[requestCounter("tutor", work_class::urgent, request_result::met)] = requests;
    entry.counts[requestCounter("tutor", work_class::batch, request_result::met)] = 5;
    if (minute % 60 == 0) {
        entry.counts[requestCounter("tutor", work_class::batch, request_result::late)] = 7;
        entry.counts[requestCounter("tutor", work_class::urgent, request_result::cancelled)] = 2;
        entry.counts[orderCounter("shop", base::run_state::ran)] = 3;
        entry.counts[loadsCounter.data()] = 1;
        entry.counts[loadedBytesCounter.data()] = std::int64_t{14} << 30;
        entry.counts[loadTimeCounter.data()] = 9'000;
    }
    if (minute == 600) {
        entry.counts[configCounter("tutor", true)] = 1;
        entry.counts[orderCounter("shop", base::run_state::notRun)] = 1;
    }
    return entry;
}

std::vector<state::minute_counts_entry> goodDay()
{
    std::vector<state::minute_counts_entry> entries;
    for (int minute = 0; minute < 1'440; ++minute) {
        entries.push_back(busyMinute("n1", minute));
        entries.push_back(busyMinute("n2", minute));
    }
    return entries;
}

/// n2 crashes at 10:00 and is declared dead at 10:02; n3 starts at 12:00 and is stopped at 13:00; the log and an endpoint fail.
std::vector<state::minute_counts_entry> badDay()
{
    std::vector<state::minute_counts_entry> entries;
    for (int minute = 0; minute < 1'440; ++minute) {
        state::minute_counts_entry first = busyMinute("n1", minute);
        if (minute >= 720 && minute < 740) {
            first.counts[requestCounter("tutor", work_class::urgent, request_result::refused)] = 400;
            first.counts[refusalCounter("tutor", base::error_kind::overloaded)] = 400;
            first.counts[failureCounter("endpoint <e1> & \"more\"")] = 60'000;
            first.counts[failureCounter("model writer")] = 30'000;
        }
        if (minute == 602) {
            first.counts[lostCounter("n2")] = 1;
            first.counts[failureCounter("log")] = 5'000;
            first.counts[orderCounter("shop", base::run_state::unknown)] = 2;
            first.counts[configCounter("tutor", false)] = 1;
        }
        entries.push_back(first);
        if (minute < 600) {
            entries.push_back(busyMinute("n2", minute));
        }
        if (minute >= 720 && minute <= 780) {
            state::minute_counts_entry third = busyMinute("n3", minute);
            third.counts[failureCounter("endpoint <e1> & \"more\"")] = 45'000;
            if (minute == 720) {
                third.counts[std::string(startedCounter)] = 1;
            }
            if (minute == 780) {
                third.counts[std::string(stoppedCounter)] = 1;
            }
            entries.push_back(third);
        }
    }
    return entries;
}

day_report reportOf(const std::vector<state::minute_counts_entry> &entries, milliseconds now = evening)
{
    day_aggregator aggregator(day);
    for (const state::minute_counts_entry &entry : entries) {
        aggregator.add(entry);
    }
    return aggregator.report(now);
}

} // namespace

/// Guards against a verdict that is better than the counts justify, and against a page that hides missing counts.
class day_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(day_report_test);
    CPPUNIT_TEST(goodDayIsCalledWell);
    CPPUNIT_TEST(badDayIsNotCalledWell);
    CPPUNIT_TEST(missingMinutesAreFound);
    CPPUNIT_TEST(missingMinutesCanChangeTheVerdict);
    CPPUNIT_TEST(fewMissingMinutesAreMentioned);
    CPPUNIT_TEST(dayWithoutCountsIsNotWell);
    CPPUNIT_TEST(orderAndDuplicatesDoNotMatter);
    CPPUNIT_TEST(comingMinutesAreNotMissing);
    CPPUNIT_TEST(percentIsNeverRoundedUp);
    CPPUNIT_TEST(corruptCountsAreIgnored);
    CPPUNIT_TEST(countersLeaveNoGaps);
    CPPUNIT_TEST(dayMethodReturnsThePage);
    CPPUNIT_TEST_SUITE_END();

    static void assertGoldens(const std::string &name, const day_report &report)
    {
        assertGolden(std::string(TEST_DATA_DIR) + '/' + name + ".txt", renderDayText(report));
        const std::string html = renderDayPage(report);
        for (const char *externalReference : {"http", "src=", "url(", "<script", "@import"}) {
            CPPUNIT_ASSERT_MESSAGE(externalReference, html.find(externalReference) == std::string::npos);
        }
        CPPUNIT_ASSERT(html.find("<e1>") == std::string::npos);
        assertGolden(std::string(TEST_DATA_DIR) + '/' + name + ".html", html);
    }

public:
    void goodDayIsCalledWell()
    {
        const day_report report = reportOf(goodDay());
        CPPUNIT_ASSERT(report.verdict == day_verdict::well && report.missing.empty());
        assertGoldens("good-day", report);
    }

    void badDayIsNotCalledWell()
    {
        const day_report report = reportOf(badDay());
        CPPUNIT_ASSERT(report.verdict == day_verdict::notWell);
        assertGoldens("bad-day", report);
    }

    void missingMinutesAreFound()
    {
        const day_report report = reportOf(badDay());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.missing.size());
        CPPUNIT_ASSERT(report.missing[0].node == "n2" && report.missing[0].first == 600 && report.missing[0].last == 602);
        // If no other node declares it dead, a node that was not stopped may have handled requests until the end of the day.
        std::vector<state::minute_counts_entry> singleNode{entryOf("n1", 5), entryOf("n1", 7)};
        const std::vector<missing_minutes> missing = reportOf(singleNode).missing;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, missing.size());
        CPPUNIT_ASSERT(missing[0].first == 0 && missing[0].last == 4 && missing[1].first == 6 && missing[2].last == 1'439);
    }

    void missingMinutesCanChangeTheVerdict()
    {
        std::vector<state::minute_counts_entry> entries = goodDay();
        std::erase_if(entries, [](const state::minute_counts_entry &entry) {
            return entry.node == base::node_id("n2") && entry.minute >= day + milliseconds(std::int64_t{60'000} * 900);
        });
        const day_report report = reportOf(entries);
        CPPUNIT_ASSERT(report.verdict == day_verdict::notKnown);
        CPPUNIT_ASSERT(report.firstLine.find("may not have gone well: counts are missing") != std::string::npos);
        const attainment_row &urgent = report.attainment.back();
        CPPUNIT_ASSERT(urgent.attainment == 1 && urgent.upperBound == 1 && urgent.lowerBound < 0.8);
    }

    void fewMissingMinutesAreMentioned()
    {
        std::vector<state::minute_counts_entry> entries = goodDay();
        entries.erase(entries.begin() + 101);
        const day_report report = reportOf(entries);
        CPPUNIT_ASSERT(report.verdict == day_verdict::well);
        CPPUNIT_ASSERT_MESSAGE(report.firstLine, report.firstLine.find("; counts of 1 minute are not known") != std::string::npos);
    }

    void dayWithoutCountsIsNotWell()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("2026-01-01 is not known: no node has reported any counts"), reportOf({}).firstLine);
        CPPUNIT_ASSERT(reportOf({entryOf("n1", 0)}).verdict == day_verdict::notKnown);
    }

    void orderAndDuplicatesDoNotMatter()
    {
        std::vector<state::minute_counts_entry> entries = badDay();
        const std::string expected = renderDayPage(reportOf(entries));
        entries.insert(entries.end(), entries.begin(), entries.begin() + 500);
        std::mt19937_64 random(4);
        std::shuffle(entries.begin(), entries.end(), random);
        CPPUNIT_ASSERT_EQUAL(expected, renderDayPage(reportOf(entries)));
    }

    void comingMinutesAreNotMissing()
    {
        std::vector<state::minute_counts_entry> entries = goodDay();
        std::erase_if(entries, [](const state::minute_counts_entry &entry) { return entry.minute >= day + milliseconds(std::int64_t{60'000} * 600); });
        const day_report report = reportOf(entries, day + milliseconds(std::int64_t{60'000} * 602));
        CPPUNIT_ASSERT(report.missing.empty() && report.verdict == day_verdict::well);
        CPPUNIT_ASSERT(report.firstLine.starts_with("2026-01-01 until 10:00 UTC went well"));
    }

    void percentIsNeverRoundedUp()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("98.99%"), percentText(0.98999999));
        CPPUNIT_ASSERT_EQUAL(std::string("99.00%"), percentText(0.99));
        CPPUNIT_ASSERT_EQUAL(std::string("100.00%"), percentText(1));
    }

    void corruptCountsAreIgnored()
    {
        state::minute_counts_entry entry = entryOf("n1", 1);
        entry.counts = {{"work/a/urgent/met", -5}, {"work/a/urgent/late", std::int64_t{1} << 62}, {"work", 1}, {"", 1}, {"failed/", 70'000}, {"orders//", 1}};
        const day_report report = reportOf({entry});
        CPPUNIT_ASSERT(report.attainment.empty());
        CPPUNIT_ASSERT(report.failures.at(0).duration == milliseconds(60'000));
        CPPUNIT_ASSERT(!renderDayPage(report).empty());
    }

    /// An idle node must not look like a node whose counts are missing.
    void countersLeaveNoGaps()
    {
        base::manual_time_source time;
        time.advance(milliseconds(90'000));
        minute_counters counters(base::node_id("n1"), base::incarnation(1));
        CPPUNIT_ASSERT(counters.takeCompleted().empty());
        counters.add(requestCounter("tutor", work_class::urgent, request_result::met), 3);
        recent_days days;
        const auto addToDays = [&](const std::vector<state::minute_counts_entry> &entries) {
            std::ranges::for_each(entries, [&](const state::minute_counts_entry &entry) { days.add(entry); });
            return entries.size();
        };
        time.advance(milliseconds(45'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, addToDays(counters.takeCompleted()));
        time.advance(milliseconds(300'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, addToDays(counters.takeCompleted()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, addToDays(counters.takeRemaining()));
        const day_report report = days.report(day, evening);
        CPPUNIT_ASSERT(report.missing.empty() && report.attainment.at(0).met == 3 && report.verdict == day_verdict::well);
    }

    void dayMethodReturnsThePage()
    {
        const base::manual_time_source time;
        recent_days days;
        for (const state::minute_counts_entry &entry : badDay()) {
            days.add(entry);
        }
        queries::day_method method(days);
        Json::Value parameters(Json::objectValue);
        const Json::Value today = method.call(parameters).value();
        CPPUNIT_ASSERT_EQUAL(std::string("2026-01-01"), today["date"].asString());
        CPPUNIT_ASSERT_EQUAL(Json::ArrayIndex{7}, today["sections"].size());
        parameters["date"] = "2025-12-31";
        CPPUNIT_ASSERT_EQUAL(std::string("notKnown"), method.call(parameters).value()["verdict"].asString());
        for (const char *wrong : {"2026-02-30", "today", "2026-01-01x", "1-1-1"}) {
            parameters["date"] = wrong;
            CPPUNIT_ASSERT_MESSAGE(wrong, !method.call(parameters));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(day_report_test);
