#include <chervilbend/node/reports/day_aggregator.hpp>

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/config/concat.hpp>
#include <chervilbend/node/reports/day_counters.hpp>
#include <chervilbend/node/reports/day_verdict_text.hpp>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds dayLength{86'400'000};
constexpr base::milliseconds minuteLength{60'000};
constexpr int minutesPerStep = 10;
/// Counts of a minute are appended up to one minute after its end, and the log may be slow.
constexpr base::milliseconds reportDelay{120'000};
/// Higher counts are corrupt and are ignored. Sums of the others stay far below 2^63.
constexpr std::int64_t maxCount = std::int64_t{1} << 46;

std::vector<std::string_view> splitName(std::string_view name)
{
    std::vector<std::string_view> result;
    for (std::size_t start = 0; start <= name.size();) {
        const std::size_t end = std::min(name.find('/', start), name.size());
        result.push_back(name.substr(start, end - start));
        start = end + 1;
    }
    return result;
}

/// Minimum share of requests that must meet their deadline for the verdict "well".
double goalOf(std::string_view urgency)
{
    return urgency == "urgent" ? 0.99 : urgency == "normal" ? 0.95 : 0.90;
}

double ratio(std::int64_t numerator, std::int64_t denominator)
{
    return denominator > 0 ? static_cast<double>(numerator) / static_cast<double>(denominator) : 1.0;
}

} // namespace

day_aggregator::day_aggregator(base::milliseconds day)
    : m_day(day / dayLength * dayLength)
{
}

void day_aggregator::add(const state::minute_counts_entry &entry)
{
    const base::milliseconds time = entry.minute - m_day;
    if (time < base::milliseconds(0) || time >= dayLength) {
        return;
    }
    const int minute = static_cast<int>(time / minuteLength);
    const auto index = static_cast<std::size_t>(minute);
    node_minutes &node = m_nodes[entry.node.value()];
    // An append is repeated if its acknowledgement was lost. A node that restarts within a minute reports that minute once per incarnation.
    std::bitset<minutesPerDay> &incarnationMinutes = node.byIncarnation[entry.incarnation.count()];
    if (incarnationMinutes[index]) {
        return;
    }
    incarnationMinutes.set(index);
    node.reported.set(index);
    std::map<std::string, std::int64_t> requestsByRow;
    for (const auto &[name, value] : entry.counts) {
        if (value <= 0 || value > maxCount) {
            continue;
        }
        const std::vector<std::string_view> fields = splitName(name);
        if (name == startedCounter) {
            node.started.set(index);
        } else if (name == stoppedCounter) {
            node.stopped.set(index);
        } else if (fields.size() == 3 && fields[0] == "node" && fields[1] == "lost") {
            m_nodes[std::string(fields[2])].lost.set(index);
        } else {
            addCount(name, value, minute);
        }
        if (fields.size() == 4 && fields[0] == "work" && fields[3] != "cancelled") {
            requestsByRow[config::concat({fields[1], "/", fields[2]})] += value;
        }
    }
    for (const auto &[row, value] : requestsByRow) {
        m_peakRequests[row] = std::max(m_peakRequests[row], value);
    }
}

void day_aggregator::addCount(const std::string &name, std::int64_t value, int minute)
{
    constexpr std::string_view failedPrefix = "failed/";
    if (name.starts_with(failedPrefix)) {
        std::int64_t &duration = m_failures[name.substr(failedPrefix.size())].byMinute[minute];
        duration = std::max(duration, std::min<std::int64_t>(value, minuteLength.count()));
        return;
    }
    m_sums[name] += value;
    const std::vector<std::string_view> fields = splitName(name);
    if (fields.size() == 4 && fields[0] == "work" && fields[3] != "cancelled") {
        const auto step = static_cast<std::size_t>(minute / minutesPerStep);
        m_totalBySteps[step] += value;
        m_metBySteps[step] += fields[3] == "met" ? value : 0;
    }
}

std::bitset<day_aggregator::minutesPerDay> day_aggregator::missingOf(const node_minutes &node, int endMinute) const
{
    std::bitset<minutesPerDay> missing;
    // A node whose first entry has no start marker was already running before it.
    bool isRunning = true;
    for (int minute = 0; minute < endMinute && isRunning; ++minute) {
        const auto index = static_cast<std::size_t>(minute);
        if (node.reported[index]) {
            isRunning = !node.started[index];
            break;
        }
    }
    for (int minute = 0; minute < endMinute; ++minute) {
        const auto index = static_cast<std::size_t>(minute);
        if (node.reported[index]) {
            isRunning = !node.stopped[index];
        } else if (isRunning) {
            missing.set(index);
            // The node may have handled requests until other nodes declared it dead, but not after that.
            isRunning = !node.lost[index];
        }
    }
    return missing;
}

std::vector<missing_minutes> day_aggregator::missing(int endMinute) const
{
    std::vector<missing_minutes> spans;
    for (const auto &[name, node] : m_nodes) {
        if (node.reported.none()) {
            continue;
        }
        const std::bitset<minutesPerDay> minutes = missingOf(node, endMinute);
        for (int minute = 0; minute < endMinute; ++minute) {
            if (!minutes[static_cast<std::size_t>(minute)]) {
                continue;
            }
            if (!spans.empty() && spans.back().node == name && spans.back().last == minute - 1) {
                spans.back().last = minute;
            } else {
                spans.push_back({name, minute, minute});
            }
        }
    }
    return spans;
}

day_report day_aggregator::report(base::milliseconds now) const
{
    day_report report;
    report.day = m_day;
    const base::milliseconds reportedUntil = std::clamp(now - reportDelay - m_day, base::milliseconds(0), dayLength);
    report.endMinute = static_cast<int>(reportedUntil / minuteLength);
    report.nodes = static_cast<int>(std::ranges::count_if(m_nodes, [](const auto &node) { return node.second.reported.any(); }));
    report.missing = missing(report.endMinute);
    std::int64_t missingCount = 0;
    for (const missing_minutes &span : report.missing) {
        missingCount += span.last - span.first + 1;
        for (int minute = span.first; minute <= span.last; ++minute) {
            report.isStepIncomplete[static_cast<std::size_t>(minute / minutesPerStep)] = true;
        }
    }
    fillAttainment(report, missingCount);
    fillCounts(report);
    fillFailures(report);
    report.metBySteps = m_metBySteps;
    report.totalBySteps = m_totalBySteps;
    determineVerdict(report);
    return report;
}

void day_aggregator::fillAttainment(day_report &report, std::int64_t missingCount) const
{
    std::map<std::pair<std::string, std::string>, attainment_row> rows;
    for (const auto &[name, value] : m_sums) {
        const std::vector<std::string_view> fields = splitName(name);
        if (fields.size() != 4 || fields[0] != "work") {
            continue;
        }
        attainment_row &row = rows[{std::string(fields[1]), std::string(fields[2])}];
        row.service = fields[1];
        row.urgency = fields[2];
        std::int64_t *const target = fields[3] == "met" ? &row.met
            : fields[3] == "late"                       ? &row.late
            : fields[3] == "refused"                    ? &row.refused
            : fields[3] == "failed"                     ? &row.failed
                                                        : &row.cancelled;
        *target += value;
    }
    for (auto &[key, row] : rows) {
        const auto peak = m_peakRequests.find(config::concat({key.first, "/", key.second}));
        const std::int64_t maxMissingRequests = peak == m_peakRequests.end() ? 0 : peak->second * missingCount;
        row.attainment = ratio(row.met, row.total());
        row.goal = goalOf(row.urgency);
        row.lowerBound = ratio(row.met, row.total() + maxMissingRequests);
        row.upperBound = ratio(row.met + maxMissingRequests, row.total() + maxMissingRequests);
        report.attainment.push_back(row);
    }
}

void day_aggregator::fillCounts(day_report &report) const
{
    const auto sum = [this](std::string_view name) {
        const auto found = m_sums.find(std::string(name));
        return found == m_sums.end() ? 0 : found->second;
    };
    report.loads = sum(loadsCounter);
    report.unloads = sum(unloadsCounter);
    report.loadedBytes = sum(loadedBytesCounter);
    report.loadTime = base::milliseconds(sum(loadTimeCounter));
    for (const auto &[name, value] : m_sums) {
        const std::vector<std::string_view> fields = splitName(name);
        if (fields.size() != 3) {
            continue;
        }
        if (fields[0] == "refused") {
            report.refusals[config::concat({fields[1], "/", fields[2]})] = value;
        } else if (fields[0] == "config") {
            report.publishes[config::concat({fields[1], "/", fields[2]})] = value;
        } else if (fields[0] == "orders") {
            order_row &row = report.orders[std::string(fields[1])];
            std::int64_t &target = fields[2] == base::toString(base::run_state::ran) ? row.ran
                : fields[2] == base::toString(base::run_state::notRun)               ? row.notRun
                                                                                     : row.unknown;
            target += value;
        }
    }
}

void day_aggregator::fillFailures(day_report &report) const
{
    for (const auto &[component, durations] : m_failures) {
        failure_row row;
        row.component = component;
        row.first = durations.byMinute.begin()->first;
        row.last = durations.byMinute.rbegin()->first;
        for (const auto &[minute, duration] : durations.byMinute) {
            row.duration += base::milliseconds(duration);
        }
        report.failures.push_back(std::move(row));
    }
    std::ranges::stable_sort(report.failures, std::ranges::greater{}, &failure_row::duration);
}

} // namespace chervilbend::node
