#pragma once

#include <chervilbend/base/counter.hpp>
#include <chervilbend/base/gauge.hpp>
#include <chervilbend/base/latency_summary.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chervilbend::base
{

/// Label names and values, in the order in which they are exported.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process, exported in the Prometheus text format (version 0.0.4). Metrics live as long as the registry, and references to
/// them stay valid. The number of label sets per family is limited; further ones share a series whose label values are all "other".
class metric_registry
{
public:
    /// @p name and @p help are those of the family; the first call for a name sets its help text.
    counter &counterFor(const std::string &name, const std::string &help, const metric_labels &labels = {});
    gauge &gaugeFor(const std::string &name, const std::string &help, const metric_labels &labels = {});
    latency_summary &summaryFor(const std::string &name, const std::string &help, const metric_labels &labels = {});

    std::string text() const;

private:
    template<typename Metric>
    struct family {
        std::string help;
        std::map<std::string, Metric> series;
    };

    template<typename Metric>
    using families = std::map<std::string, family<Metric>>;

    template<typename Metric>
    static Metric &find(families<Metric> &all, const std::string &name, const std::string &help, const metric_labels &labels);

    families<counter> m_counters;
    families<gauge> m_gauges;
    families<latency_summary> m_summaries;
};

} // namespace chervilbend::base
