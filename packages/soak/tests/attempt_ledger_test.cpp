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

    void sendWith(const std::string &id, const account_key &key, request_kind kind = request_kind::order)
    {
        ledger.onSent({id, ++requests, kind, 0, "now", base::clock::now(), key});
    }

    void run(const std::string &id, const std::string &account = {}, base::time_point at = base::clock::now())
    {
        ledger.onRun({id, "/orders/1", "i-a-1", account, fakes::answer_form::proper, at});
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
    std::uint64_t requests = 0;
};

const account_key validKey{"north-key", "north", key_validity::always};
const account_key changingKey{"north-added-key", "north", key_validity::inSomeVersions};
const account_key unknownKey{"unknown-key", "", key_validity::never};

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
    CPPUNIT_TEST(findsRunWithAKeyThatNoVersionContained);
    CPPUNIT_TEST(findsDenialOfAKeyThatEveryVersionContains);
    CPPUNIT_TEST(findsRunForAnotherAccount);
    CPPUNIT_TEST(findsKeyThatReachesAServer);
    CPPUNIT_TEST(findsAccountOverItsQuota);
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

    /// Guards against a soak that holds although a request ran that nobody may send.
    void findsRunWithAKeyThatNoVersionContained()
    {
        ledger_fixture fixture;
        fixture.sendWith("a", unknownKey, request_kind::query);
        fixture.run("a");
        fixture.sendWith("b", changingKey);
        fixture.run("b", "north");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a public route, and a key that some versions contain", std::string(), fixture.rules());
        fixture.sendWith("c", unknownKey);
        fixture.run("c");
        CPPUNIT_ASSERT_EQUAL(std::string("UNAUTHORIZED "), fixture.rules());
        ledger_fixture keyless;
        keyless.sendWith("a", {});
        keyless.run("a", "north");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("without a key", std::string("UNAUTHORIZED "), keyless.rules());
    }

    /// Guards against a soak that holds although 401 ended the attempts of a caller whose key was valid all the time.
    void findsDenialOfAKeyThatEveryVersionContains()
    {
        ledger_fixture fixture;
        fixture.sendWith("a", changingKey);
        fixture.end("a", 401);
        fixture.sendWith("b", unknownKey);
        fixture.end("b", 401);
        fixture.sendWith("c", validKey);
        fixture.end("c", 503);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.rules());
        fixture.sendWith("d", validKey);
        fixture.end("d", 401);
        CPPUNIT_ASSERT_EQUAL(std::string("DENIED "), fixture.rules());
        CPPUNIT_ASSERT(fixture.ledger.hasBreachAt("now"));
    }

    /// Guards against a soak that holds although a server was told another account than that of the key, or one that the caller named.
    void findsRunForAnotherAccount()
    {
        ledger_fixture fixture;
        fixture.sendWith("a", validKey);
        fixture.run("a", "north");
        fixture.sendWith("b", changingKey, request_kind::query);
        fixture.run("b");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a public route and a key that may be unknown", std::string(), fixture.rules());
        fixture.sendWith("c", validKey, request_kind::query);
        fixture.run("c");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a public route and a known key", std::string("ACCOUNT () "), fixture.rules());
        fixture.sendWith("d", validKey);
        fixture.run("d", "north,forged");
        fixture.sendWith("e", unknownKey, request_kind::query);
        fixture.run("e", "forged");
        CPPUNIT_ASSERT_EQUAL(std::string("ACCOUNT () ACCOUNT (north,forged) ACCOUNT (forged) "), fixture.rules());
    }

    /// Guards against a soak that holds although a caller's key left the nodes.
    void findsKeyThatReachesAServer()
    {
        ledger_fixture fixture;
        fixture.sendWith("a", validKey);
        fixture.run("a", "north");
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.rules());
        fixture.ledger.onAuthorization("a");
        CPPUNIT_ASSERT_EQUAL(std::string("KEY "), fixture.rules());
        ledger_fixture check;
        check.ledger.onAuthorization("");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("in a health check", std::string("KEY "), check.rules());
    }

    /// Guards against a soak that holds although an account used more than its quota; an attempt that runs again is charged once.
    void findsAccountOverItsQuota()
    {
        ledger_fixture fixture;
        const base::time_point now = base::clock::now();
        fixture.ledger.quotas().setLimit("north", {1, 1}, now);
        for (int i = 0; i < 10; ++i) {
            const std::string id = "attempt " + std::to_string(i);
            fixture.sendWith(id, validKey, request_kind::query);
            fixture.run(id, "north", now);
            fixture.run(id, "north", now);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("(1 x 8 + 1) x 1.1 + 1 allow 10", std::string(), fixture.rules());
        fixture.sendWith("last", validKey);
        fixture.run("last", "north", now);
        CPPUNIT_ASSERT_EQUAL(std::string("QUOTA "), fixture.rules());
        CPPUNIT_ASSERT(fixture.ledger.hasBreachAt("now"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_ledger_test);
