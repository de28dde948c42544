#include <chervilbend/load/checks/invariant_check.hpp>
#include <chervilbend/load/history_json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <sstream>

using namespace chervilbend::load;

namespace
{

attempt orderAttempt(const std::string &key, std::int64_t sentMs, std::int64_t endMs, const std::string &run)
{
    attempt entry;
    entry.kind = "order";
    entry.request = key;
    entry.node = "127.0.0.1:1";
    entry.subject = key;
    entry.sentMs = sentMs;
    entry.endMs = endMs;
    entry.runState = run;
    entry.isComplete = run == "ran";
    entry.matchesRequest = entry.isComplete;
    entry.status = entry.isComplete ? 200 : 503;
    entry.failureReported = !entry.isComplete;
    return entry;
}

attempt chatAttempt(std::int64_t sentMs, std::int64_t endMs)
{
    attempt entry = orderAttempt("m", sentMs, endMs, "ran");
    entry.kind = "chat";
    return entry;
}

event eventAt(std::int64_t atMs, const std::string &type, const std::string &subject, std::int64_t version = 0)
{
    return {atMs, type, subject, "127.0.0.1:1", "127.0.0.1:2", version, version / 10 * 10};
}

/// A run in which every invariant is exercised and holds.
run_history validRun()
{
    run_history history;
    history.memory = {{"engine-1", 0, 90, 100}, {"engine-1", 1'000, 100, 100}};
    for (std::int64_t ms = 0; ms < 60'000; ms += 1'000) {
        history.attempts.push_back(chatAttempt(ms, ms + 500));
        history.requestCounts.push_back({"orders-1", ms, std::min<std::int64_t>(ms, 14'000)});
        // Version 11 is in force from 5 s after its acceptance.
        history.versions.push_back({"127.0.0.1:2", ms + 10, ms, {{"s", ms < 25'000 ? 1 : 11}}});
    }
    history.attempts.push_back(orderAttempt("a", 10, 20, "not run"));
    history.attempts.push_back(orderAttempt("a", 30, 40, "ran"));
    history.attempts.push_back(orderAttempt("b", 10, 20, "not run"));
    history.events = {
        eventAt(10'000, "leaving", "orders-1"), eventAt(20'000, "accepted", "s", 11), eventAt(40'000, "term", "node-1"), eventAt(42'000, "ended", "node-1")};
    history.runs = {{"a", 1}};
    history.hasRuns = true;
    return history;
}

} // namespace

/// Guards against checks that miss a breach: each test introduces one into an otherwise valid run.
class invariant_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(invariant_check_test);
    CPPUNIT_TEST(passesAValidRun);
    CPPUNIT_TEST(reportsAnEmptyRunAsNotExercised);
    CPPUNIT_TEST(findsOvercommittedMemory);
    CPPUNIT_TEST(findsAnUnavailableModel);
    CPPUNIT_TEST(findsMismatchedAndMissingResponses);
    CPPUNIT_TEST(findsAFalseNotRun);
    CPPUNIT_TEST(findsASecondRunAndAFalseRan);
    CPPUNIT_TEST(findsNewRequestsAtALeavingEndpoint);
    CPPUNIT_TEST(findsARequestAbortedByAPlannedStop);
    CPPUNIT_TEST(findsLateAndRevertedConfigurations);
    CPPUNIT_TEST(exemptsNodesThatCannotReadTheLog);
    CPPUNIT_TEST(roundTripsTheHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void passesAValidRun()
    {
        for (const auto &check : allChecks()) {
            const check_result result = check->check(validRun());
            CPPUNIT_ASSERT_MESSAGE(check->name() + (result.evidence.empty() ? "" : result.evidence.front()), result.outcome == check_result::kind::held);
        }
    }

    void reportsAnEmptyRunAsNotExercised()
    {
        for (const auto &check : allChecks()) {
            CPPUNIT_ASSERT_MESSAGE(check->name(), check->check({}).outcome == check_result::kind::notExercised);
        }
    }

    void findsOvercommittedMemory()
    {
        // A lower value of a restarted process must not hide the highest one.
        expectBreach(0, [](run_history &history) { history.memory.insert(history.memory.begin(), {"engine-1", 500, 101, 100}); });
    }

    void findsAnUnavailableModel()
    {
        expectBreach(1, [](run_history &history) {
            for (attempt &entry : history.attempts) {
                entry.isComplete = entry.isComplete && (entry.sentMs < 20'000 || entry.sentMs > 32'000);
            }
        });
        expectBreach(1, [](run_history &history) { history.attempts[7].status = 404; });
        // No response until the end of the run.
        expectBreach(1, [](run_history &history) {
            for (attempt &entry : history.attempts) {
                entry.isComplete = entry.isComplete && entry.sentMs < 40'000;
            }
        });
    }

    void findsMismatchedAndMissingResponses()
    {
        expectBreach(2, [](run_history &history) { history.attempts[7].matchesRequest = false; });
        expectBreach(2, [](run_history &history) {
            history.attempts[7].isComplete = false;
            history.attempts[7].givenUp = true;
        });
    }

    void findsAFalseNotRun()
    {
        expectBreach(3, [](run_history &history) { history.runs["b"] = 1; });
    }

    void findsASecondRunAndAFalseRan()
    {
        expectBreach(4, [](run_history &history) { history.runs["a"] = 2; });
        expectBreach(4, [](run_history &history) { history.runs.clear(); });
    }

    void findsNewRequestsAtALeavingEndpoint()
    {
        expectBreach(5, [](run_history &history) { history.requestCounts[30].requests = 14'001; });
    }

    void findsARequestAbortedByAPlannedStop()
    {
        const auto addAbortedRequest = [](run_history &history, int status, bool reported) {
            attempt entry = chatAttempt(39'000, 41'000);
            entry.isComplete = false;
            entry.status = status;
            entry.failureReported = reported;
            history.attempts.push_back(entry);
        };
        expectBreach(6, [&](run_history &history) { addAbortedRequest(history, 200, false); });
        expectBreach(6, [&](run_history &history) { addAbortedRequest(history, 0, false); });
        run_history reported = validRun();
        addAbortedRequest(reported, 200, true);
        CPPUNIT_ASSERT(allChecks()[6]->check(reported).outcome == check_result::kind::held);
    }

    void findsLateAndRevertedConfigurations()
    {
        expectBreach(7, [](run_history &history) { history.versions[27].services["s"] = 1; });
        expectBreach(7, [](run_history &history) { history.versions[59].services.clear(); });
        expectBreach(7, [](run_history &history) { history.versions[59].services["s"] = 9; });
        expectBreach(7, [](run_history &history) { history.events.push_back(eventAt(30'000, "accepted", "s", 12)); });
    }

    void exemptsNodesThatCannotReadTheLog()
    {
        run_history history = validRun();
        for (version_sample &sample : history.versions) {
            sample.services["s"] = sample.atMs < 35'000 ? 1 : 11;
        }
        CPPUNIT_ASSERT(allChecks()[7]->check(history).outcome == check_result::kind::breached);
        history.events.push_back(eventAt(21'000, "log-fault", ""));
        history.events.push_back(eventAt(30'000, "log-healed", ""));
        CPPUNIT_ASSERT(allChecks()[7]->check(history).outcome == check_result::kind::held);
    }

    void roundTripsTheHistory()
    {
        std::stringstream file;
        const run_history written = validRun();
        for (const attempt &entry : written.attempts) {
            file << toLine(entry) << '\n';
        }
        file << toLine(written.memory[1]) << '\n'
             << toLine(written.requestCounts[1]) << '\n'
             << toLine(written.versions[1]) << '\n'
             << toRunsLine(written.runs);
        file << "\n{\"type\":\"event\",\"atMs\":5,\"what\":\"accepted\",\"who\":\"s\",\"version\":3,\"base\":2}\n{\"type\":\"att";
        run_history read;
        readLines(file, read);
        CPPUNIT_ASSERT_EQUAL(written.attempts.size(), read.attempts.size());
        CPPUNIT_ASSERT_EQUAL(toLine(written.attempts.back()), toLine(read.attempts.back()));
        CPPUNIT_ASSERT_EQUAL(toLine(written.memory[1]), toLine(read.memory.at(0)));
        CPPUNIT_ASSERT_EQUAL(toLine(written.versions[1]), toLine(read.versions.at(0)));
        CPPUNIT_ASSERT(read.runs == written.runs && read.hasRuns && read.events.at(0).version == 3);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), read.unreadableLines);
    }

private:
    static void expectBreach(std::size_t index, const std::function<void(run_history &)> &introduceBreach)
    {
        run_history history = validRun();
        introduceBreach(history);
        const check_result result = allChecks()[index]->check(history);
        CPPUNIT_ASSERT_MESSAGE(result.scope, result.outcome == check_result::kind::breached);
        CPPUNIT_ASSERT(!result.evidence.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invariant_check_test);
