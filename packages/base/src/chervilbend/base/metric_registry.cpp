#include <chervilbend/base/metric_registry.hpp>

#include <charconv>
#include <cmath>

namespace chervilbend::base
{

namespace
{

/// Series per family. Labels come from small closed lists; the bound guards against one that does not.
constexpr std::size_t mostSeries = 256;

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
std::string labelText(const metric_labels &labels, bool asOther)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text.append(text.empty() ? "" : ",").append(name).append("=\"").append(asOther ? "other" : escaped(value)).append("\"");
    }
    return text;
}

std::string number(double value)
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

void addHead(std::string &text, const std::string &name, const std::string &help, const char *type)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void addSummary(std::string &text, const std::string &name, const std::string &labels, const latency_summary &summary)
{
    for (std::size_t i = 0; i < latency_summary::probabilities().size(); ++i) {
        std::string all = labels;
        all.append(all.empty() ? "" : ",").append("quantile=\"").append(number(latency_summary::probabilities()[i])).append("\"");
        addLine(text, name, all, number(summary.quantile(i)));
    }
    addLine(text, name + "_sum", labels, number(summary.sum()));
    addLine(text, name + "_count", labels, std::to_string(summary.count()));
}

} // namespace

template<typename Metric>
Metric &metric_registry::find(families<Metric> &all, const std::string &name, const std::string &help, const metric_labels &labels)
{
    family<Metric> &wanted = all.try_emplace(name, family<Metric>{help, {}}).first->second;
    const std::string key = labelText(labels, false);
    const bool known = wanted.series.contains(key);
    return wanted.series[known || wanted.series.size() < mostSeries ? key : labelText(labels, true)];
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
    for (const auto &[name, own] : m_counters) {
        addHead(text, name, own.help, "counter");
        for (const auto &[labels, metric] : own.series) {
            addLine(text, name, labels, std::to_string(metric.value()));
        }
    }
    for (const auto &[name, own] : m_gauges) {
        addHead(text, name, own.help, "gauge");
        for (const auto &[labels, metric] : own.series) {
            addLine(text, name, labels, number(metric.value()));
        }
    }
    for (const auto &[name, own] : m_summaries) {
        addHead(text, name, own.help, "summary");
        for (const auto &[labels, metric] : own.series) {
            addSummary(text, name, labels, metric);
        }
    }
    return text;
}

} // namespace chervilbend::base
