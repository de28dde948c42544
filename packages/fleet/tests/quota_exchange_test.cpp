#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/fleet/account_rule.hpp>
#include <chervilbend/fleet/caller_request.hpp>
#include <chervilbend/fleet/quota_json.hpp>
#include <chervilbend/fleet/rate_limit_json.hpp>
#include <chervilbend/fleet/request_cost.hpp>
#include <chervilbend/routing/account_quotas.hpp>
#include <chervilbend/routing/quota_allocator.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <json/writer.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace chervilbend;
using namespace chervilbend::fleet;

namespace
{

routing::quota_report sampleReport()
{
    routing::quota_report report;
    report.node = base::node_id("n1");
    report.process = 77;
    report.answerAge = base::milliseconds(250);
    report.accounts[base::account_id("print")] = {1, 2, 3, 4.5, 5, 6, 7, {8, 9, 10.125}};
    return report;
}

constexpr int accountCount = 16;
/// Of a node's 10 KB/s for control, at four exchanges a second; in both directions together.
constexpr std::size_t mostExchangeBytes = 10 * 1'024 / 4;

std::size_t bytesOf(const Json::Value &json)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, json).size();
}

/// Bytes of a node's report together with its answer.
struct exchange_bytes {
    double mean = 0;
    std::size_t most = 0;
};

/// Each node uses all accounts beyond their quotas.
exchange_bytes measureExchanges(std::size_t nodeCount)
{
    base::manual_time_source time;
    std::map<base::account_id, routing::quota_limit> limits;
    for (int i = 0; i < accountCount; ++i) {
        limits[base::account_id("account" + std::to_string(i))] = {303'372, 303'372, quota_unit::tokens};
    }
    constexpr std::int64_t startTime = 1'765'000'000'000;
    routing::quota_allocator allocator;
    allocator.start(startTime);
    allocator.setLimits(limits);
    std::vector<routing::account_quotas> nodes(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        nodes[i].setIdentity(base::node_id("front-sul-" + std::to_string(100 + i)), startTime + static_cast<std::int64_t>(i));
        nodes[i].setLimits(limits);
    }
    std::mt19937_64 random(1);
    exchange_bytes result;
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        time.advance(base::milliseconds(250));
        for (routing::account_quotas &node : nodes) {
            for (const auto &[account, limit] : limits) {
                for (int i = 0; i < 3; ++i) {
                    node.charge(account, std::uniform_real_distribution<double>(1'000, 3'000)(random));
                }
            }
            routing::rate_limit_report report;
            report.quotas = node.takeReport();
            routing::rate_limit_answer answer;
            answer.quotas = allocator.answer(report.quotas, true);
            node.apply(report.quotas, answer.quotas);
            const std::size_t bytes = bytesOf(toJson(report)) + bytesOf(toJson(answer));
            result.most = std::max(result.most, bytes);
            result.mean += static_cast<double>(bytes) / static_cast<double>(nodeCount * rounds);
        }
    }
    return result;
}

} // namespace

/// Guards against grants that are read wrongly by another node, also one of another version, and against costs that callers can lower.
class quota_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_exchange_test);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(invalidNumbersAreSkipped);
    CPPUNIT_TEST(earlierVersionsGrantNothing);
    CPPUNIT_TEST(reportOfAFewAccountsIsSmall);
    CPPUNIT_TEST(unitIsOptional);
    CPPUNIT_TEST(exchangeDoesNotGrowWithTheNodes);
    CPPUNIT_TEST(requestsCostTheirTokens);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesRoundTrip()
    {
        const routing::quota_report report = readQuotaReport(toJson(sampleReport()));
        CPPUNIT_ASSERT(report.node == base::node_id("n1") && report.process == 77 && report.answerAge == base::milliseconds(250));
        const routing::quota_usage &usage = report.accounts.at(base::account_id("print"));
        CPPUNIT_ASSERT(usage.balance == 1 && usage.returned == 2 && usage.waiting == 3 && usage.firstWaiting == 4.5 && usage.expected == 5);
        CPPUNIT_ASSERT(usage.demandRate == 6 && usage.spentIsolated == 7 && usage.share.rate == 8 && usage.share.sumOfRates == 9);
        CPPUNIT_ASSERT_EQUAL(10.125, usage.share.level);
        routing::quota_answer answer;
        answer.isGranting = true;
        answer.accounts[base::account_id("print")] = {100, {10, 20, 30}, base::milliseconds(400)};
        const routing::quota_answer read = readQuotaAnswer(toJson(answer));
        const routing::quota_grant &grant = read.accounts.at(base::account_id("print"));
        CPPUNIT_ASSERT(read.isGranting && grant.granted == 100 && grant.share.level == 30 && grant.retryAfter == base::milliseconds(400));
    }

    void invalidNumbersAreSkipped()
    {
        for (const Json::Value &odd : {Json::Value(-1), Json::Value("5"), Json::Value(1.5), Json::Value(Json::Int64{1} << 60U), Json::Value()}) {
            Json::Value json = toJson(sampleReport());
            json["accounts"]["print"][3] = odd;
            CPPUNIT_ASSERT(readQuotaReport(json).accounts.empty());
        }
        Json::Value shortList = toJson(sampleReport());
        shortList["accounts"]["print"].resize(2);
        CPPUNIT_ASSERT(readQuotaReport(shortList).accounts.empty());
        CPPUNIT_ASSERT(!readQuotaAnswer(Json::Value("granting")).isGranting);
    }

    void earlierVersionsGrantNothing()
    {
        Json::Value report = toJson(routing::rate_limit_report{});
        report.removeMember("quotas");
        CPPUNIT_ASSERT(readRateLimitReport(report) && readRateLimitReport(report)->quotas.accounts.empty());
        Json::Value answer = toJson(routing::rate_limit_answer{});
        answer.removeMember("quotas");
        CPPUNIT_ASSERT(readRateLimitAnswer(answer) && !readRateLimitAnswer(answer)->quotas.isGranting);
    }

    /// A node reports up to four times a second, of the accounts that it uses.
    void reportOfAFewAccountsIsSmall()
    {
        routing::quota_report report = sampleReport();
        for (const char *account : {"school", "office", "bank"}) {
            report.accounts[base::account_id(account)] = {303'372, 1'000, 2'500, 1'250.5, 60'000, 120'000, 0, {150'000, 303'372, 200'000}};
        }
        const std::size_t bytes = bytesOf(toJson(report));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes) + " bytes", bytes <= 600);
    }

    /// Nodes of earlier versions name no unit, and one that is not known must not be taken for another.
    void unitIsOptional()
    {
        const base::account_id print("print");
        CPPUNIT_ASSERT(!readQuotaReport(toJson(sampleReport())).accounts.at(print).unit);
        for (const quota_unit unit : {quota_unit::requests, quota_unit::tokens}) {
            routing::quota_report report = sampleReport();
            report.accounts.at(print).unit = unit;
            Json::Value json = toJson(report);
            CPPUNIT_ASSERT(readQuotaReport(json).accounts.at(print).unit == unit);
            json["accounts"]["print"][10] = 7;
            CPPUNIT_ASSERT(readQuotaReport(json).accounts.empty());
        }
    }

    /// An answer that named the shares of other nodes, or accounts that the node doesn't use, would grow with the fleet.
    void exchangeDoesNotGrowWithTheNodes()
    {
        const exchange_bytes few = measureExchanges(62);
        const exchange_bytes many = measureExchanges(300);
        const std::string bytes = "mean " + std::to_string(few.mean) + " and most " + std::to_string(few.most) + " bytes at 62 nodes, "
            + std::to_string(many.mean) + " and " + std::to_string(many.most) + " at 300";
        CPPUNIT_ASSERT_MESSAGE(bytes, few.mean > 1'000 && few.most <= mostExchangeBytes && many.most <= mostExchangeBytes);
        // The largest of more exchanges may have a few digits more.
        CPPUNIT_ASSERT_MESSAGE(bytes, many.mean <= few.mean);
    }

    void requestsCostTheirTokens()
    {
        caller_request caller;
        caller.promptTokens = base::token_count(1'460);
        caller.maxTokens = base::token_count(80);
        caller.hasTokenCounts = true;
        const quota_rule tokens{quota_unit::tokens, 1, 1, 200};
        CPPUNIT_ASSERT_EQUAL(1'540.0, costOf(caller, tokens));
        CPPUNIT_ASSERT_EQUAL(1.0, costOf(caller, quota_rule{quota_unit::requests, 1, 1, 200}));
        caller.hasTokenCounts = false;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("counts that can't be read do not make a request cheap", 200.0, costOf(caller, tokens));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_exchange_test);
