#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/base/metric_registry.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace chervilbend::base;

/// Guards against an unbounded number of series, wrong quantile estimates, and quantiles of samples that are minutes old.
class metric_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metric_registry_test);
    CPPUNIT_TEST(showsPrometheusText);
    CPPUNIT_TEST(limitsLabelSets);
    CPPUNIT_TEST(estimatesQuantiles);
    CPPUNIT_TEST(quantilesReflectRecentSamples);
    CPPUNIT_TEST_SUITE_END();

public:
    void showsPrometheusText()
    {
        metric_registry registry;
        registry.counterFor("a_total", "As", {{"class", "ur\"gent"}}).add(2);
        registry.gaugeFor("b", "Bs").readFrom([] { return 1.5; });
        registry.summaryFor("c_ms", "Cs").add(4);
        CPPUNIT_ASSERT_EQUAL(std::string("# HELP a_total As\n# TYPE a_total counter\na_total{class=\"ur\\\"gent\"} 2\n"
                                         "# HELP b Bs\n# TYPE b gauge\nb 1.5\n"
                                         "# HELP c_ms Cs\n# TYPE c_ms summary\nc_ms{quantile=\"0.5\"} 4\nc_ms{quantile=\"0.9\"} 4\n"
                                         "c_ms{quantile=\"0.99\"} 4\nc_ms{quantile=\"0.999\"} 4\nc_ms_sum 4\nc_ms_count 1\n"),
                             registry.text());
    }

    void limitsLabelSets()
    {
        metric_registry registry;
        for (int i = 0; i < 10'000; ++i) {
            registry.counterFor("a_total", "As", {{"account", std::to_string(i)}}).add();
        }
        CPPUNIT_ASSERT(registry.text().size() < 20'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10'000 - 256), registry.counterFor("a_total", "As", {{"account", "other"}}).value());
    }

    void estimatesQuantiles()
    {
        for (const int samples : {10, 64, 65, 1'000, 100'000}) {
            latency_summary summary;
            std::mt19937 random(7);
            std::exponential_distribution<double> latency(0.1);
            std::vector<double> all;
            for (int i = 0; i < samples; ++i) {
                all.push_back(latency(random));
                summary.add(all.back());
            }
            std::sort(all.begin(), all.end());
            for (std::size_t i = 0; i < 2; ++i) {
                const double exact = all[static_cast<std::size_t>(std::ceil(latency_summary::probabilities()[i] * samples)) - 1];
                CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(std::to_string(samples), exact, summary.quantile(i), exact * 0.25);
            }
        }
    }

    void quantilesReflectRecentSamples()
    {
        manual_time_source time;
        latency_summary summary;
        CPPUNIT_ASSERT(std::isnan(summary.quantile(0)));
        summary.add(1'000);
        time.advance(milliseconds(60'000));
        summary.add(1);
        CPPUNIT_ASSERT_EQUAL(1'000.0, summary.quantile(0));
        time.advance(milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(1.0, summary.quantile(0));
        time.advance(milliseconds(600'000));
        CPPUNIT_ASSERT(std::isnan(summary.quantile(0)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), summary.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metric_registry_test);
