#include <chervilbend/base/metric_registry.hpp>

#include <charconv>
#include <cmath>

namespace chervilbend::base
{

namespace
{

/// Maximum number of series per family. Label values should come from small fixed sets; the limit bounds memory if some do not.
constexpr std::size_t maxSeriesPerFamily = 256;

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

/// `name="value",...`; empty without labels.
std::string formatLabels(const metric_labels &labels, bool isOverflow)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text.append(text.empty() ? "" : ",").append(name).append("=\"").append(isOverflow ? "other" : escaped(value)).append("\"");
    }
    return text;
}

std::string formatNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    char digits[32];
    const auto [end, error] = std::to_chars(digits, digits + sizeof digits, value);
    return {digits, end};
}

void addLine(std::string &text, const std::string &name, const std::string &labels, const std::string &value)
{
    text.append(name);
    if (!labels.empty()) {
        text.append("{").append(labels).append("}");
    }
    text.append(" ").append(value).append("\n");
}

void addHeader(std::string &text, const std::string &name, const std::string &help, const char *type)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void addSummary(std::string &text, const std::string &name, const std::string &labels, const latency_summary &summary)
{
    for (std::size_t i = 0; i < latency_summary::probabilities().size(); ++i) {
        std::string all = labels;
        all.append(all.empty() ? "" : ",").append("quantile=\"").append(formatNumber(latency_summary::probabilities()[i])).append("\"");
        addLine(text, name, all, formatNumber(summary.quantile(i)));
    }
    addLine(text, name + "_sum", labels, formatNumber(summary.sum()));
    addLine(text, name + "_count", labels, std::to_string(summary.count()));
}

} // namespace

template<typename Metric>
Metric &metric_registry::find(families<Metric> &all, const std::string &name, const std::string &help, const metric_labels &labels)
{
    family<Metric> &wanted = all.try_emplace(name, family<Metric>{help, {}}).first->second;
    const std::string key = formatLabels(labels, false);
    const bool known = wanted.series.contains(key);
    return wanted.series[known || wanted.series.size() < maxSeriesPerFamily ? key : formatLabels(labels, true)];
}

counter &metric_registry::counterFor(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return find(m_counters, name, help, labels);
}

gauge &metric_registry::gaugeFor(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return find(m_gauges, name, help, labels);
}

latency_summary &metric_registry::summaryFor(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return find(m_summaries, name, help, labels);
}

std::string metric_registry::text() const
{
    std::string text;
    for (const auto &[name, entry] : m_counters) {
        addHeader(text, name, entry.help, "counter");
        for (const auto &[labels, metric] : entry.series) {
            addLine(text, name, labels, std::to_string(metric.value()));
        }
    }
    for (const auto &[name, entry] : m_gauges) {
        addHeader(text, name, entry.help, "gauge");
        for (const auto &[labels, metric] : entry.series) {
            addLine(text, name, labels, formatNumber(metric.value()));
        }
    }
    for (const auto &[name, entry] : m_summaries) {
        addHeader(text, name, entry.help, "summary");
        for (const auto &[labels, metric] : entry.series) {
            addSummary(text, name, labels, metric);
        }
    }
    return text;
}

} // namespace chervilbend::base
