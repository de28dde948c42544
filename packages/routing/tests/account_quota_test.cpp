#include "quota_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace chervilbend;
using namespace chervilbend::routing;
using namespace chervilbend::routing::test;

namespace
{

constexpr quota_limit largeLimit{300'000, 300'000};
constexpr quota_limit smallLimit{12'000, 12'000};

/// The same demand at each of the first @p nodes nodes.
std::function<double(std::size_t)> evenly(double total, std::size_t nodes)
{
    return [=](std::size_t node) {
        return node < nodes ? total / static_cast<double>(nodes) : 0.0;
    };
}

std::function<double(std::size_t)> onlyAt(double total, std::size_t at)
{
    return [=](std::size_t node) {
        return node == at ? total : 0.0;
    };
}

void assertWithinLimit(const quota_cluster &cluster, const std::string &account, const quota_limit &limit, base::time_point since = {})
{
    const double most = cluster.mostInWindow(account, since);
    const double allowed = quota_cluster::allowedInWindow(limit);
    CPPUNIT_ASSERT_MESSAGE(account + ": " + std::to_string(most) + " units in 8 s, allowed " + std::to_string(allowed), most <= allowed);
}

/// A node and an allocator, in virtual time, with the limit of one account.
struct quota_fixture {
    quota_fixture()
    {
        allocator.start(1);
    }

    explicit quota_fixture(const quota_limit &limit)
        : quota_fixture()
    {
        setLimit(limit);
    }

    void setLimit(const quota_limit &limit)
    {
        quotas.setLimits({{account, limit}});
        allocator.setLimits({{account, limit}});
    }

    /// Reports the use of a node and applies the answer.
    void exchange(account_quotas &node)
    {
        const quota_report report = node.takeReport();
        node.apply(report, allocator.answer(report, true));
    }

    void exchange()
    {
        exchange(quotas);
    }

    /// Charges a request, which the allocator then decides.
    std::shared_ptr<quota_request> chargeAndExchange(double cost)
    {
        std::shared_ptr<quota_request> request = quotas.charge(account, cost);
        exchange();
        return request;
    }

    base::manual_time_source time;
    account_quotas quotas;
    quota_allocator allocator;
    const base::account_id account{"a"};
};

double refusedShare(const account_result &result)
{
    return result.refused / std::max(1.0, result.offered);
}

} // namespace

/// Guards against accounts that get more than their quota from all nodes together, and against requests within a quota that are refused.
class account_quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(account_quota_test);
    CPPUNIT_TEST(accountOfAllNodesKeepsItsLimit);
    CPPUNIT_TEST(quotaIsUsableAtOneNodeThenAtAnother);
    CPPUNIT_TEST(smallAccountIsUsableAtManyNodes);
    CPPUNIT_TEST(rareRequestsNeedFewReports);
    CPPUNIT_TEST(reservesLeaveAnAccountUsableAtOneNode);
    CPPUNIT_TEST(accountBeyondItsQuotaUsesItWhole);
    CPPUNIT_TEST(otherAccountsKeepWhatTheyHad);
    CPPUNIT_TEST(refusalsAreFastAndSayWhenToComeBack);
    CPPUNIT_TEST(lostHolderKeepsTheLimit);
    CPPUNIT_TEST(cutOffNodesKeepTheLimit);
    CPPUNIT_TEST(frozenNodeSpendsNoOldGrants);
    CPPUNIT_TEST(changingHoldersKeepTheLimit);
    CPPUNIT_TEST(restartOfAllNodesIsServed);
    CPPUNIT_TEST(loweredLimitTakesEffect);
    CPPUNIT_TEST(raisedLimitIsUsed);
    CPPUNIT_TEST(refundedUnitsAreUsable);
    CPPUNIT_TEST(accountThatTheAllocatorLacksIsServed);
    CPPUNIT_TEST(reportsOutOfOrderWithholdNothing);
    CPPUNIT_TEST(regainedLeaseBringsNoNewBurst);
    CPPUNIT_TEST(lostAnswersDoNotStarveAnAccount);
    CPPUNIT_TEST(changedUnitStartsAnew);
    CPPUNIT_TEST(nodesOfTwoUnitsDoNotMix);
    CPPUNIT_TEST(answerInTheOldUnitIsIgnored);
    CPPUNIT_TEST(randomHistoriesKeepTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void accountOfAllNodesKeepsItsLimit()
    {
        for (const std::size_t nodes : {6U, 62U, 300U}) {
            quota_cluster cluster(nodes, {{"large", {largeLimit, 1'000, evenly(1'800'000, nodes)}}});
            cluster.run(milliseconds(20'000));
            assertWithinLimit(cluster, "large", largeLimit);
        }
    }

    void quotaIsUsableAtOneNodeThenAtAnother()
    {
        for (const quota_limit &limit : {largeLimit, smallLimit}) {
            quota_cluster cluster(62, {{"a", {limit, limit.rate / 100, evenly(0, 62)}}});
            cluster.run(milliseconds(2'000));
            cluster.load("a").demand = onlyAt(limit.rate * 0.95, 3);
            cluster.run(milliseconds(6'000));
            cluster.load("a").demand = onlyAt(limit.rate * 0.95, 17);
            cluster.run(milliseconds(6'000));
            const double refused = refusedShare(cluster.results["a"]);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " refused", refused < 0.01);
            assertWithinLimit(cluster, "a", limit);
        }
    }

    /// 12 requests a second at 62 nodes: no node has a share that it could use.
    void smallAccountIsUsableAtManyNodes()
    {
        quota_cluster cluster(62, {{"small", {smallLimit, 1'000, evenly(smallLimit.rate * 0.8, 62)}}});
        cluster.run(milliseconds(20'000));
        const double refused = refusedShare(cluster.results["small"]);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " refused", refused < 0.02);
        assertWithinLimit(cluster, "small", smallLimit);
    }

    /// Each of 86 nodes sees eight accounts less than once a second. A report for each request would keep the allocator's node busy with hundreds of them.
    void rareRequestsNeedFewReports()
    {
        std::map<std::string, account_load> loads;
        for (int i = 0; i < 8; ++i) {
            loads[std::string("a").append(std::to_string(i))] = {largeLimit, 1'000, evenly(70'000, 86)};
        }
        quota_cluster cluster(86, loads);
        cluster.run(milliseconds(4'000));
        cluster.urgentReports = 0;
        cluster.run(milliseconds(10'000));
        const double requests = 8 * 70 * 10;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.urgentReports) + " reports", cluster.urgentReports < requests * 0.1);
        for (const auto &[account, result] : cluster.results) {
            CPPUNIT_ASSERT_MESSAGE(account, refusedShare(result) < 0.01);
        }
    }

    /// All nodes hold units for an account when its whole demand moves to one of them.
    void reservesLeaveAnAccountUsableAtOneNode()
    {
        quota_cluster cluster(62, {{"a", {largeLimit, 1'000, evenly(40'000, 62)}}});
        cluster.run(milliseconds(6'000));
        const double refusedBefore = cluster.results["a"].refused;
        cluster.load("a").demand = onlyAt(largeLimit.rate * 0.95, 9);
        cluster.run(milliseconds(6'000));
        const double refused = (cluster.results["a"].refused - refusedBefore) / (largeLimit.rate * 0.95 * 6);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " refused", refused < 0.01);
        assertWithinLimit(cluster, "a", largeLimit);
    }

    void accountBeyondItsQuotaUsesItWhole()
    {
        for (const std::size_t nodes : {4U, 62U}) {
            quota_cluster cluster(62, {{"large", {largeLimit, 1'000, evenly(2'000'000, nodes)}}});
            cluster.run(milliseconds(20'000));
            double used = 0;
            for (const admitted_units &each : cluster.results["large"].admitted) {
                used += each.cost;
            }
            const double share = used / (largeLimit.rate * 20);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(share) + " of the rate is used", share >= 0.95);
        }
    }

    /// One account sends many times its usual.
    void otherAccountsKeepWhatTheyHad()
    {
        quota_cluster cluster(62,
                              {{"large", {largeLimit, 1'000, evenly(200'000, 62)}},
                               {"small", {smallLimit, 1'000, evenly(6'000, 4)}},
                               {"middle", {{60'000, 60'000}, 1'000, evenly(40'000, 20)}}});
        cluster.run(milliseconds(3'000));
        cluster.load("large").demand = evenly(1'500'000, 62);
        cluster.run(milliseconds(8'000));
        for (const char *account : {"small", "middle"}) {
            const double refused = refusedShare(cluster.results[account]);
            CPPUNIT_ASSERT_MESSAGE(account + std::string(": ") + std::to_string(refused), refused < 0.01);
        }
        assertWithinLimit(cluster, "large", largeLimit);
    }

    void refusalsAreFastAndSayWhenToComeBack()
    {
        quota_cluster cluster(8, {{"small", {smallLimit, 1'000, evenly(60'000, 8)}}});
        cluster.run(milliseconds(10'000));
        CPPUNIT_ASSERT(cluster.results["small"].refused > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.results["small"].longestWaitOfRefused.count()) + " ms",
                               cluster.results["small"].longestWaitOfRefused <= milliseconds(120));
        CPPUNIT_ASSERT(cluster.results["small"].leastRetryAfter > milliseconds(0));
    }

    /// The nodes go on at their shares while there is no holder, and the next one begins with what the first had left.
    void lostHolderKeepsTheLimit()
    {
        quota_cluster cluster(62, {{"usual", {largeLimit, 1'000, evenly(180'000, 62)}}, {"hot", {largeLimit, 1'000, evenly(900'000, 62)}}});
        cluster.run(milliseconds(9'000));
        const double refusedBefore = cluster.results["usual"].refused;
        const double offeredBefore = cluster.results["usual"].offered;
        cluster.setAllocator(std::nullopt);
        cluster.run(milliseconds(4'500));
        cluster.setAllocator(5);
        cluster.run(milliseconds(10'000));
        assertWithinLimit(cluster, "hot", largeLimit);
        assertWithinLimit(cluster, "usual", largeLimit);
        const double refused = (cluster.results["usual"].refused - refusedBefore) / (cluster.results["usual"].offered - offeredBefore);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " refused", refused < 0.03);
    }

    void cutOffNodesKeepTheLimit()
    {
        quota_cluster cluster(62, {{"hot", {largeLimit, 1'000, evenly(1'500'000, 62)}}});
        cluster.run(milliseconds(9'000));
        for (std::size_t i = 20; i < 31; ++i) {
            cluster.cutOff[i] = true;
        }
        cluster.run(milliseconds(20'000));
        cluster.cutOff.clear();
        cluster.run(milliseconds(9'000));
        assertWithinLimit(cluster, "hot", largeLimit);
    }

    void frozenNodeSpendsNoOldGrants()
    {
        quota_fixture fixture({1'000, 1'000});
        for (int i = 0; i < 20; ++i) {
            fixture.time.advance(milliseconds(100));
            CPPUNIT_ASSERT(fixture.chargeAndExchange(10)->decision == quota_decision::admitted);
        }
        const double held = fixture.quotas.balance(fixture.account);
        CPPUNIT_ASSERT(held > 0);
        fixture.time.suspend(milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(0.0, fixture.quotas.balance(fixture.account));
        CPPUNIT_ASSERT(fixture.quotas.charge(fixture.account, held)->decision == quota_decision::waiting);
    }

    void changingHoldersKeepTheLimit()
    {
        quota_cluster cluster(30, {{"hot", {largeLimit, 1'000, evenly(1'500'000, 30)}}});
        cluster.run(milliseconds(9'000));
        for (std::size_t round = 0; round < 8; ++round) {
            cluster.setAllocator(std::nullopt);
            cluster.run(milliseconds(700));
            cluster.setAllocator(round % 3);
            cluster.run(milliseconds(2'500));
        }
        assertWithinLimit(cluster, "hot", largeLimit);
    }

    /// After a loss of power no node knows anything, and there is no holder for a while.
    void restartOfAllNodesIsServed()
    {
        quota_cluster cluster(62, {{"usual", {largeLimit, 1'000, evenly(150'000, 62)}}});
        cluster.run(milliseconds(9'000));
        cluster.setAllocator(std::nullopt);
        for (std::size_t i = 0; i < 62; ++i) {
            cluster.startNode(i);
        }
        const double refusedBefore = cluster.results["usual"].refused;
        cluster.run(milliseconds(1'500));
        cluster.setAllocator(2);
        cluster.run(milliseconds(2'500));
        const double refused = (cluster.results["usual"].refused - refusedBefore) / (150'000 * 4);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " refused", refused < 0.05);
        assertWithinLimit(cluster, "usual", largeLimit);
    }

    void loweredLimitTakesEffect()
    {
        quota_cluster cluster(62, {{"a", {largeLimit, 1'000, evenly(250'000, 62)}}});
        cluster.run(milliseconds(6'000));
        const quota_limit lowered{50'000, 50'000};
        cluster.setLimit("a", lowered);
        const base::time_point since = quota_cluster::now();
        cluster.run(milliseconds(20'000));
        assertWithinLimit(cluster, "a", lowered, since);
    }

    void raisedLimitIsUsed()
    {
        quota_cluster cluster(20, {{"a", {smallLimit, 1'000, evenly(100'000, 20)}}});
        cluster.run(milliseconds(6'000));
        cluster.setLimit("a", largeLimit);
        cluster.run(milliseconds(1'000));
        const double refusedBefore = cluster.results["a"].refused;
        cluster.run(milliseconds(5'000));
        const double refused = (cluster.results["a"].refused - refusedBefore) / (100'000 * 5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " refused", refused < 0.01);
    }

    void refundedUnitsAreUsable()
    {
        quota_fixture fixture({1'000, 1'000});
        fixture.time.advance(milliseconds(2'000));
        const auto first = fixture.chargeAndExchange(700);
        CPPUNIT_ASSERT(first->decision == quota_decision::admitted);
        fixture.quotas.refund(*first);
        CPPUNIT_ASSERT(fixture.quotas.charge(fixture.account, 700)->decision == quota_decision::admitted);
        CPPUNIT_ASSERT_MESSAGE("accounts without a limit", fixture.quotas.charge(base::account_id("b"), 1e9)->decision == quota_decision::admitted);
    }

    /// The node has a newer configuration than the allocator.
    void accountThatTheAllocatorLacksIsServed()
    {
        quota_fixture fixture;
        const quota_limit added{6'400, 6'400};
        fixture.quotas.setLimits({{fixture.account, added}});
        fixture.time.advance(milliseconds(2'000));
        CPPUNIT_ASSERT(fixture.chargeAndExchange(100)->decision == quota_decision::admitted);
        CPPUNIT_ASSERT_MESSAGE("no more than a part of the burst", fixture.quotas.charge(fixture.account, 100)->decision == quota_decision::refused);
        fixture.setLimit(added);
        fixture.exchange();
        CPPUNIT_ASSERT(fixture.chargeAndExchange(100)->decision == quota_decision::admitted);
    }

    /// The periodic report was taken before the account's first request, and arrives after the report of that request.
    void reportsOutOfOrderWithholdNothing()
    {
        const quota_limit limit{1'000, 1'000};
        quota_fixture fixture(limit);
        fixture.time.advance(milliseconds(1'000));
        account_quotas other;
        other.setLimits({{fixture.account, limit}});
        other.setIdentity(base::node_id("other"), 2);
        other.charge(fixture.account, 100);
        fixture.exchange(other);
        const quota_report periodic = fixture.quotas.takeReport();
        fixture.chargeAndExchange(100);
        fixture.allocator.answer(periodic, true);
        double admitted = 0;
        for (int i = 0; i < 80; ++i) {
            fixture.time.advance(milliseconds(100));
            other.charge(fixture.account, 1);
            fixture.exchange(other);
            admitted += fixture.chargeAndExchange(100)->decision == quota_decision::admitted ? 100 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted) + " of 8000", admitted >= 7'500);
    }

    /// The store is unavailable for moments, so that the same node loses the lease and acquires it again.
    void regainedLeaseBringsNoNewBurst()
    {
        quota_cluster cluster(20, {{"hot", {largeLimit, 1'000, evenly(1'500'000, 20)}}});
        cluster.run(milliseconds(9'000));
        for (int round = 0; round < 6; ++round) {
            cluster.setAllocator(std::nullopt);
            cluster.run(milliseconds(600));
            cluster.setAllocator(0);
            cluster.run(milliseconds(1'000));
        }
        assertWithinLimit(cluster, "hot", largeLimit);
    }

    /// The allocator takes the reports, but its answers are lost, so that what the node has spent is reported again and again.
    void lostAnswersDoNotStarveAnAccount()
    {
        quota_fixture fixture({1'000, 1'000});
        fixture.chargeAndExchange(100);
        for (int i = 0; i < 40; ++i) {
            fixture.time.advance(milliseconds(300));
            fixture.quotas.charge(fixture.account, 250);
            fixture.allocator.answer(fixture.quotas.takeReport(), true);
            fixture.quotas.noteUnanswered();
        }
        fixture.time.advance(milliseconds(1'500));
        fixture.exchange();
        fixture.time.advance(milliseconds(2'000));
        CPPUNIT_ASSERT(fixture.chargeAndExchange(400)->decision == quota_decision::admitted);
    }

    /// An account whose tokens were used up would otherwise be refused for as long as they take to come back, and its tokens would count as requests.
    void changedUnitStartsAnew()
    {
        quota_fixture fixture({1'000, 1'000, quota_unit::tokens});
        fixture.time.advance(milliseconds(1'000));
        const auto all = fixture.chargeAndExchange(1'000);
        CPPUNIT_ASSERT(all->decision == quota_decision::admitted);
        const auto waiting = fixture.quotas.charge(fixture.account, 900);
        fixture.setLimit({10, 10, quota_unit::requests});
        CPPUNIT_ASSERT_MESSAGE("charged in the old unit", waiting->decision == quota_decision::admitted);
        CPPUNIT_ASSERT_MESSAGE("the bucket is full", fixture.chargeAndExchange(10)->decision == quota_decision::admitted);
        fixture.quotas.refund(*all);
        CPPUNIT_ASSERT_EQUAL(0.0, fixture.quotas.balance(fixture.account));
        CPPUNIT_ASSERT_MESSAGE("and no more than full", fixture.chargeAndExchange(1)->decision == quota_decision::refused);
    }

    /// A new version reaches the nodes within 3 s, one after the other.
    void nodesOfTwoUnitsDoNotMix()
    {
        quota_fixture fixture({640, 640, quota_unit::requests});
        account_quotas old;
        old.setIdentity(base::node_id("old"), 2);
        old.setLimits({{fixture.account, {640'000, 640'000, quota_unit::tokens}}});
        fixture.time.advance(milliseconds(1'000));
        const auto request = old.charge(fixture.account, 1'000);
        const quota_report report = old.takeReport();
        const quota_answer answer = fixture.allocator.answer(report, true);
        CPPUNIT_ASSERT(answer.isGranting && !answer.accounts.contains(fixture.account));
        old.apply(report, answer);
        CPPUNIT_ASSERT_MESSAGE("from its part", request->decision == quota_decision::admitted);
        CPPUNIT_ASSERT_MESSAGE("1000 tokens are not 1000 requests", fixture.chargeAndExchange(640)->decision == quota_decision::admitted);
    }

    void answerInTheOldUnitIsIgnored()
    {
        quota_fixture fixture({1'000, 1'000, quota_unit::tokens});
        fixture.time.advance(milliseconds(1'000));
        fixture.quotas.charge(fixture.account, 500);
        const quota_report report = fixture.quotas.takeReport();
        fixture.quotas.setLimits({{fixture.account, {10, 10, quota_unit::requests}}});
        const auto request = fixture.quotas.charge(fixture.account, 20);
        fixture.quotas.apply(report, fixture.allocator.answer(report, true));
        CPPUNIT_ASSERT(request->decision == quota_decision::waiting);
        CPPUNIT_ASSERT_EQUAL(0.0, fixture.quotas.balance(fixture.account));
    }

    /// Nodes come, go, stand still and are cut off with grants in hand, and the holder changes, all at random.
    void randomHistoriesKeepTheLimit()
    {
        for (const std::uint64_t seed : {11U, 12U, 13U, 14U, 15U, 16U}) {
            std::mt19937_64 random(seed);
            const std::size_t nodes = 20 + random() % 40;
            quota_cluster cluster(nodes, {{"hot", {largeLimit, 1'000, evenly(1'200'000, nodes)}}, {"small", {smallLimit, 1'000, evenly(40'000, 5)}}}, seed);
            for (int event = 0; event < 25; ++event) {
                cluster.run(milliseconds(200 + random() % 1'500));
                const std::size_t node = random() % nodes;
                switch (random() % 6) {
                case 0:
                    cluster.setAllocator(std::nullopt);
                    break;
                case 1:
                    cluster.setAllocator(node);
                    break;
                case 2:
                    cluster.startNode(node);
                    break;
                case 3:
                    // A sixth of the nodes at most, as links fail.
                    cluster.cutOff.clear();
                    for (std::size_t i = 0; i < nodes / 6; ++i) {
                        cluster.cutOff[random() % nodes] = true;
                    }
                    break;
                case 4:
                    cluster.frozen.clear();
                    cluster.frozen[node] = true;
                    break;
                default:
                    cluster.cutOff.clear();
                    cluster.frozen.clear();
                }
            }
            for (const auto &[account, limit] : {std::pair{"hot", largeLimit}, std::pair{"small", smallLimit}}) {
                const double most = cluster.mostInWindow(account);
                const double allowed = quota_cluster::allowedInWindow(limit);
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", " + account + ": " + std::to_string(most) + " of " + std::to_string(allowed),
                                       most <= allowed);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_quota_test);
