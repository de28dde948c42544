#include <chervilbend/soak/attempt_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace chervilbend;
using namespace chervilbend::soak;

namespace
{

struct ledger_fixture {
    void send(const std::string &id, std::uint64_t request, request_kind kind = request_kind::order)
    {
        ledger.onSent({id, request, kind, 0, {}});
    }

    void run(const std::string &id)
    {
        ledger.onRun({id, "/orders/1", "i-a-1"});
    }

    void end(const std::string &id, int status)
    {
        ledger.onEnded(id, {status, {}});
    }

    /// The rules of all breaches, in their order.
    std::string rules() const
    {
        std::string names;
        for (const breach &one : ledger.breaches()) {
            names += one.rule + ' ';
        }
        return names;
    }

    attempt_ledger ledger;
};

} // namespace

/// Guards against a soak that holds although a request ran twice or ran after it was called not run.
class attempt_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempt_ledger_test);
    CPPUNIT_TEST(findsRunThatWasCalledNotRun);
    CPPUNIT_TEST(findsRunAfterTheRefusal);
    CPPUNIT_TEST(findsSecondRunOfAnAttempt);
    CPPUNIT_TEST(findsSecondRunOfARepeatedRequest);
    CPPUNIT_TEST(findsSecondRunOfAnAttemptThatCameAgain);
    CPPUNIT_TEST(holdsWhereARefusedAttemptRunsWhenItComesAgain);
    CPPUNIT_TEST(findsRefusalOfAnAttemptThatCameAgain);
    CPPUNIT_TEST(tellsTheProgramsOfABreach);
    CPPUNIT_TEST(falseRefusalIsTheFaultOfTheNodeThatRefuses);
    CPPUNIT_TEST(wrongAnswerIsTheFaultOfTheNodeThatGivesIt);
    CPPUNIT_TEST(findsWrongAnswer);
    CPPUNIT_TEST(findsAnswerThatANodeCuts);
    CPPUNIT_TEST(cutIsExcusedByCallersFaultsAndTheEndOfAStop);
    CPPUNIT_TEST(holdsWhereNothingIsPromised);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsRunThatWasCalledNotRun()
    {
        for (const int status : {408, 421, 429, 503}) {
            ledger_fixture fixture;
            fixture.send("a", 1);
            fixture.run("a");
            fixture.end("a", status);
            CPPUNIT_ASSERT_EQUAL(std::string("REFUSED "), fixture.rules());
        }
    }

    void findsRunAfterTheRefusal()
    {
        ledger_fixture fixture;
        fixture.send("a", 1, request_kind::stream);
        fixture.end("a", 503);
        fixture.run("a");
        CPPUNIT_ASSERT_EQUAL(std::string("REFUSED "), fixture.rules());
    }

    void findsSecondRunOfAnAttempt()
    {
        ledger_fixture fixture;
        fixture.send("a", 1);
        fixture.run("a");
        fixture.run("a");
        fixture.end("a", 200);
        CPPUNIT_ASSERT_EQUAL(std::string("TWICE "), fixture.rules());
    }

    void findsSecondRunOfARepeatedRequest()
    {
        ledger_fixture fixture;
        fixture.send("a", 1);
        fixture.run("a");
        fixture.end("a", 503);
        fixture.send("b", 1);
        fixture.run("b");
        CPPUNIT_ASSERT_EQUAL(std::string("REFUSED TWICE "), fixture.rules());
    }

    void findsSecondRunOfAnAttemptThatCameAgain()
    {
        ledger_fixture fixture;
        fixture.send("a", 1);
        fixture.run("a");
        fixture.end("a", 502);
        fixture.send("a", 1);
        fixture.run("a");
        CPPUNIT_ASSERT_EQUAL(std::string("TWICE "), fixture.rules());
    }

    void holdsWhereARefusedAttemptRunsWhenItComesAgain()
    {
        ledger_fixture fixture;
        fixture.send("a", 1);
        fixture.end("a", 503);
        fixture.send("a", 1);
        fixture.run("a");
        fixture.end("a", 200);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.rules());
    }

    void findsRefusalOfAnAttemptThatCameAgain()
    {
        ledger_fixture fixture;
        fixture.send("a", 1);
        fixture.end("a", 503);
        fixture.send("a", 1);
        fixture.run("a");
        fixture.end("a", 503);
        CPPUNIT_ASSERT_EQUAL(std::string("REFUSED "), fixture.rules());
    }

    /// During an upgrade, the version before may break what the new one keeps.
    void tellsTheProgramsOfABreach()
    {
        ledger_fixture fixture;
        fixture.ledger.onSent({"a", 1, request_kind::order, 0, "next"});
        fixture.run("a");
        fixture.run("a");
        CPPUNIT_ASSERT(fixture.ledger.hasBreachAt("next") && fixture.ledger.hasBreachAt("") && !fixture.ledger.hasBreachAt("now"));
        fixture.ledger.onSent({"b", 2, request_kind::order, 0, "next"});
        fixture.end("b", 0);
        fixture.ledger.onSent({"c", 2, request_kind::order, 1, "now"});
        fixture.run("b");
        fixture.run("c");
        CPPUNIT_ASSERT(fixture.ledger.hasBreachAt("now"));
    }

    /// The caller repeats what the version before has refused untruly; that it runs once more is not the fault of the node that runs it.
    void falseRefusalIsTheFaultOfTheNodeThatRefuses()
    {
        ledger_fixture fixture;
        fixture.ledger.onSent({"a", 1, request_kind::order, 0, "next"});
        fixture.run("a");
        fixture.end("a", 503);
        fixture.ledger.onSent({"b", 1, request_kind::order, 1, "now"});
        fixture.run("b");
        fixture.end("b", 200);
        CPPUNIT_ASSERT_EQUAL(std::string("REFUSED TWICE "), fixture.rules());
        CPPUNIT_ASSERT(fixture.ledger.hasBreachAt("next") && !fixture.ledger.hasBreachAt("now"));
    }

    /// The caller repeats a request at a node of the version before, whose answer is another one's.
    void wrongAnswerIsTheFaultOfTheNodeThatGivesIt()
    {
        ledger_fixture fixture;
        fixture.ledger.onSent({"a", 1, request_kind::order, 0, "now"});
        fixture.end("a", 503);
        fixture.ledger.onSent({"b", 1, request_kind::order, 1, "next"});
        fixture.ledger.onWrongAnswer("b", "not whole");
        CPPUNIT_ASSERT(fixture.ledger.hasBreachAt("next") && !fixture.ledger.hasBreachAt("now"));
    }

    void findsWrongAnswer()
    {
        ledger_fixture fixture;
        fixture.send("a", 1);
        fixture.ledger.onWrongAnswer("a", "not whole");
        CPPUNIT_ASSERT_EQUAL(std::string("MIXED (not whole) "), fixture.rules());
    }

    void findsAnswerThatANodeCuts()
    {
        ledger_fixture fixture;
        fixture.send("a", 1, request_kind::feed);
        fixture.run("a");
        fixture.ledger.onStop(0);
        fixture.ledger.onEnded("a", {0, "after 200", cut_cause::byNode});
        CPPUNIT_ASSERT_EQUAL(std::string("LOST "), fixture.rules());
    }

    void cutIsExcusedByCallersFaultsAndTheEndOfAStop()
    {
        ledger_fixture left;
        left.send("a", 1, request_kind::feed);
        left.run("a");
        left.ledger.onEnded("a", {0, {}, cut_cause::byCaller});
        CPPUNIT_ASSERT_EQUAL(std::string(), left.rules());

        ledger_fixture disrupted;
        disrupted.ledger.onDisruption();
        disrupted.send("a", 1, request_kind::feed);
        disrupted.run("a");
        disrupted.ledger.onEnded("a", {0, {}, cut_cause::byNode});
        CPPUNIT_ASSERT_EQUAL(std::string(), disrupted.rules());

        ledger_fixture stopped;
        const base::time_point now = base::clock::now();
        stopped.ledger.onStop(0, now - base::milliseconds(7'000));
        stopped.ledger.onSent({"a", 1, request_kind::feed, 0, {}, now - base::milliseconds(4'500)});
        stopped.run("a");
        stopped.ledger.onEnded("a", {0, {}, cut_cause::byNode});
        CPPUNIT_ASSERT_EQUAL(std::string(), stopped.rules());
        stopped.ledger.onSent({"b", 2, request_kind::feed, 0, {}, now - base::milliseconds(3'500)});
        stopped.run("b");
        stopped.ledger.onEnded("b", {0, {}, cut_cause::byNode});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it was sent too late to be begun", std::string("LOST "), stopped.rules());
    }

    void holdsWhereNothingIsPromised()
    {
        ledger_fixture fixture;
        for (const int status : {0, 200, 502, 504}) {
            const std::string id = std::to_string(status);
            fixture.send(id, static_cast<std::uint64_t>(status));
            fixture.run(id);
            fixture.end(id, status);
        }
        fixture.send("query", 7, request_kind::query);
        fixture.run("query");
        fixture.run("query");
        fixture.end("query", 503);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.rules());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_ledger_test);
