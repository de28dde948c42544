#include <chervilbend/config/declaration_diff.hpp>
#include <chervilbend/config/declaration_json.hpp>
#include <chervilbend/config/memory_fit.hpp>
#include <chervilbend/config/quantity.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

using namespace chervilbend;
using namespace chervilbend::config;

namespace
{

constexpr std::int64_t gib = std::int64_t{1} << 30;

model_declaration model(const std::string &name, std::int64_t size, int copies)
{
    model_declaration result;
    result.name = name;
    result.version = "1";
    result.weights = base::byte_count(size * gib);
    result.copies = copies;
    return result;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + '\n';
    }
    return text;
}

} // namespace

/// Guards against declarations that lose data when they are written to the log and read back, differences that are not shown to an operator,
/// and models that are accepted although they do not fit into memory.
class declaration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(declaration_test);
    CPPUNIT_TEST(jsonRoundTripKeepsAllMembers);
    CPPUNIT_TEST(jsonOfOtherVersionsIsRead);
    CPPUNIT_TEST(differencesAreShown);
    CPPUNIT_TEST(quantitiesNeedUnits);
    CPPUNIT_TEST(quantitiesSurviveFormatting);
    CPPUNIT_TEST(fitShowsItsCalculation);
    CPPUNIT_TEST(fitNeverExceedsMemory);
    CPPUNIT_TEST_SUITE_END();

    static service_declaration sample()
    {
        service_declaration declaration;
        declaration.service = base::service_id("tutor");
        declaration.models = {model("a", 14, 2), model("b", 3, 1)};
        declaration.models[0].kvReserve = base::byte_count(6 * gib);
        declaration.models[0].adapters = {{"x", "1", base::byte_count(gib / 2)}};
        declaration.routes = {{"/orders", "POST", false, "orderId", base::work_class::urgent, base::milliseconds(1'500)}};
        declaration.policy.defaultUrgency = base::work_class::batch;
        return declaration;
    }

public:
    void jsonRoundTripKeepsAllMembers()
    {
        declaration_reader reader;
        const auto read = reader.read(boost::json::parse(boost::json::serialize(toJson(sample()))));
        CPPUNIT_ASSERT(read == sample());
    }

    void jsonOfOtherVersionsIsRead()
    {
        declaration_reader reader;
        CPPUNIT_ASSERT(reader.read(boost::json::parse(R"({"service":"a","colour":"red","routes":[{"prefix":"/a","new":1}]})")));
        for (const char *wrong : {"[]",
                                  "{}",
                                  R"({"service":1})",
                                  R"({"service":"a","models":{}})",
                                  R"({"service":"a","models":[1]})",
                                  R"({"service":"a","models":[{"copies":99999999999}]})",
                                  R"({"service":"a","policy":{"defaultUrgency":"now"}})"}) {
            CPPUNIT_ASSERT_MESSAGE(wrong, !reader.read(boost::json::parse(wrong)));
            CPPUNIT_ASSERT(reader.lastReason().kind == base::error_kind::configInvalid);
        }
    }

    void differencesAreShown()
    {
        service_declaration after = sample();
        CPPUNIT_ASSERT(diffLines(sample(), after).empty());
        std::swap(after.models[0], after.models[1]);
        CPPUNIT_ASSERT(diffLines(sample(), after).empty());
        after.models[0] = model("c", 3, 1);
        after.models[1].copies = 3;
        after.models[1].adapters[0].version = "2";
        after.routes[0].repeatable = true;
        after.policy.deadline = base::milliseconds(1'000);
        CPPUNIT_ASSERT_EQUAL(std::string("- model b\n"
                                         "~ adapter a/x: version 1 -> 2\n"
                                         "~ model a: copies 2 -> 3\n"
                                         "+ model c: copies 1, importance 50, kvReserve 0 B, version 1, weights 3 GiB\n"
                                         "~ policy: deadline 2 min -> 1 s\n"
                                         "~ route POST /orders: repeatable false -> true\n"),
                             joined(diffLines(sample(), after)));
    }

    void quantitiesNeedUnits()
    {
        for (const char *wrong : {"", "14", "GiB", "-1 GiB", "1 gib", "1 GiB ", "1e3 B", "inf B", "99999999 TiB", "1 GiB 2"}) {
            CPPUNIT_ASSERT_MESSAGE(wrong, !parseBytes(wrong));
        }
        for (const char *wrong : {"30", "1 d", "0.5 ms", "-1 s", "s"}) {
            CPPUNIT_ASSERT_MESSAGE(wrong, !parseDuration(wrong));
        }
        CPPUNIT_ASSERT(parseBytes("1.5GiB") == base::byte_count(3 * gib / 2));
        CPPUNIT_ASSERT(parseDuration("0.3 s") == base::milliseconds(300));
    }

    void quantitiesSurviveFormatting()
    {
        CPPUNIT_ASSERT(rc::check("durations survive formatting", [] {
            const base::milliseconds duration(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 40));
            RC_ASSERT(parseDuration(formatDuration(duration)) == duration);
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("1.5 GiB"), formatBytes(base::byte_count(3 * gib / 2)));
        CPPUNIT_ASSERT_EQUAL(std::string("0 B"), formatBytes(base::byte_count(0)));
    }

    void fitShowsItsCalculation()
    {
        const std::vector<endpoint_memory> endpoints{
            {base::endpoint_id("e1"), base::zone_id("a"), base::byte_count(40 * gib)},
            {base::endpoint_id("e2"), base::zone_id("a"), base::byte_count(40 * gib)},
            {base::endpoint_id("e3"), base::zone_id("b"), base::byte_count(24 * gib)},
        };
        service_declaration declaration = sample();
        CPPUNIT_ASSERT(fitIntoMemory(std::span(&declaration, 1), endpoints).fits);
        declaration.models[1] = model("b", 10, 2);
        const memory_fit fit = fitIntoMemory(std::span(&declaration, 1), endpoints);
        CPPUNIT_ASSERT(!fit.fits);
        CPPUNIT_ASSERT_EQUAL(std::string("memory of 3 endpoints in 2 zones: 104 GiB\n"
                                         "a@1: 2 x 20.5 GiB (weights 14 GiB + KV reserve 6 GiB + adapters 512 MiB): e1 (zone a), e3 (zone b)\n"
                                         "b@1: 2 x 10 GiB (weights 10 GiB + KV reserve 0 B + adapters 0 B): e1 (zone a), no place\n"
                                         "sum of all copies: 61 GiB of 104 GiB\n"
                                         "no place for copy 2 of b@1: it needs 10 GiB; most memory left in zones without a copy: e3 (zone b) 3.5 GiB\n"),
                             joined(fit.calculation));
    }

    /// Parses the placements from the text of the calculation and sums them per endpoint and per model.
    void fitNeverExceedsMemory()
    {
        CPPUNIT_ASSERT(rc::check("accepted models fit", [] {
            std::vector<endpoint_memory> endpoints;
            const auto count = *rc::gen::inRange(1, 9);
            for (int i = 0; i < count; ++i) {
                const auto zone = base::zone_id(std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))));
                endpoints.push_back({base::endpoint_id("e" + std::to_string(i)), zone, base::byte_count(*rc::gen::inRange(1, 100) * gib)});
            }
            service_declaration declaration;
            const auto models = *rc::gen::inRange(0, 8);
            for (int i = 0; i < models; ++i) {
                declaration.models.push_back(model("m" + std::to_string(i), *rc::gen::inRange(1, 50), *rc::gen::inRange(1, 4)));
            }
            const memory_fit fit = fitIntoMemory(std::span(&declaration, 1), endpoints);
            if (!fit.fits) {
                return;
            }
            std::map<std::string, std::int64_t> used;
            for (const model_declaration &item : declaration.models) {
                const std::string start = item.name + "@1: ";
                const auto line = std::ranges::find_if(fit.calculation, [&](const std::string &text) { return text.starts_with(start); });
                RC_ASSERT(line != fit.calculation.end());
                int copies = 0;
                for (const endpoint_memory &endpoint : endpoints) {
                    if (line->find(' ' + endpoint.endpoint.value() + " (") != std::string::npos) {
                        ++copies;
                        used[endpoint.endpoint.value()] += item.weights.count();
                    }
                }
                RC_ASSERT(copies == item.copies);
            }
            for (const endpoint_memory &endpoint : endpoints) {
                RC_ASSERT(used[endpoint.endpoint.value()] <= endpoint.memory.count());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(declaration_test);
