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
constexpr int minutesOfStep = 10;
/// Counts of a minute are appended up to a minute after its end, and the log may be slow.
constexpr base::milliseconds reportDelay{120'000};
/// A count beyond this is damaged; sums of so many stay far below 2^63.
constexpr std::int64_t greatestCount = std::int64_t{1} << 46;

std::vector<std::string_view> parts(std::string_view name)
{
    std::vector<std::string_view> result;
    for (std::size_t start = 0; start <= name.size();) {
        const std::size_t end = std::min(name.find('/', start), name.size());
        result.push_back(name.substr(start, end - start));
        start = end + 1;
    }
    return result;
}

/// The least share of requests within their deadline with which a day counts as well.
double goalOf(std::string_view urgency)
{
    return urgency == "urgent" ? 0.99 : urgency == "normal" ? 0.95 : 0.90;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 1.0;
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
    presence &node = m_nodes[entry.node.value()];
    // An append whose acknowledgement was lost is repeated. Two lives of a node share a minute when it restarts within it.
    std::bitset<minutesOfDay> &life = node.lives[entry.incarnation.count()];
    if (life[index]) {
        return;
    }
    life.set(index);
    node.reported.set(index);
    std::map<std::string, std::int64_t> busy;
    for (const auto &[name, value] : entry.counts) {
        if (value <= 0 || value > greatestCount) {
            continue;
        }
        const std::vector<std::string_view> part = parts(name);
        if (name == startedCounter) {
            node.started.set(index);
        } else if (name == stoppedCounter) {
            node.stopped.set(index);
        } else if (part.size() == 3 && part[0] == "node" && part[1] == "lost") {
            m_nodes[std::string(part[2])].lost.set(index);
        } else {
            count(name, value, minute);
        }
        if (part.size() == 4 && part[0] == "work" && part[3] != "cancelled") {
            busy[config::concat({part[1], "/", part[2]})] += value;
        }
    }
    for (const auto &[row, value] : busy) {
        m_busiest[row] = std::max(m_busiest[row], value);
    }
}

void day_aggregator::count(const std::string &name, std::int64_t value, int minute)
{
    constexpr std::string_view failedPrefix = "failed/";
    if (name.starts_with(failedPrefix)) {
        std::int64_t &duration = m_failures[name.substr(failedPrefix.size())].byMinute[minute];
        duration = std::max(duration, std::min<std::int64_t>(value, minuteLength.count()));
        return;
    }
    m_sums[name] += value;
    const std::vector<std::string_view> part = parts(name);
    if (part.size() == 4 && part[0] == "work" && part[3] != "cancelled") {
        const auto step = static_cast<std::size_t>(minute / minutesOfStep);
        m_total[step] += value;
        m_met[step] += part[3] == "met" ? value : 0;
    }
}

std::bitset<day_aggregator::minutesOfDay> day_aggregator::missingOf(const presence &node, int endMinute) const
{
    std::bitset<minutesOfDay> missing;
    // A node whose first entry is not that of its start ran before.
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
            // It may have worked until the others noticed that it is gone, and not after that.
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
        const std::bitset<minutesOfDay> minutes = missingOf(node, endMinute);
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
    const base::milliseconds known = std::clamp(now - reportDelay - m_day, base::milliseconds(0), dayLength);
    report.endMinute = static_cast<int>(known / minuteLength);
    report.nodes = static_cast<int>(std::ranges::count_if(m_nodes, [](const auto &node) { return node.second.reported.any(); }));
    report.missing = missing(report.endMinute);
    std::int64_t missingCount = 0;
    for (const missing_minutes &span : report.missing) {
        missingCount += span.last - span.first + 1;
        for (int minute = span.first; minute <= span.last; ++minute) {
            report.isStepIncomplete[static_cast<std::size_t>(minute / minutesOfStep)] = true;
        }
    }
    fillAttainment(report, missingCount);
    fillCounts(report);
    fillFailures(report);
    report.metBySteps = m_met;
    report.totalBySteps = m_total;
    determineVerdict(report);
    return report;
}

void day_aggregator::fillAttainment(day_report &report, std::int64_t missingCount) const
{
    std::map<std::pair<std::string, std::string>, attainment_row> rows;
    for (const auto &[name, value] : m_sums) {
        const std::vector<std::string_view> part = parts(name);
        if (part.size() != 4 || part[0] != "work") {
            continue;
        }
        attainment_row &row = rows[{std::string(part[1]), std::string(part[2])}];
        row.service = part[1];
        row.urgency = part[2];
        std::int64_t *const target = part[3] == "met" ? &row.met
            : part[3] == "late"                       ? &row.late
            : part[3] == "refused"                    ? &row.refused
            : part[3] == "failed"                     ? &row.failed
                                                      : &row.cancelled;
        *target += value;
    }
    for (auto &[key, row] : rows) {
        const auto busiest = m_busiest.find(config::concat({key.first, "/", key.second}));
        const std::int64_t most = busiest == m_busiest.end() ? 0 : busiest->second * missingCount;
        row.attainment = share(row.met, row.total());
        row.goal = goalOf(row.urgency);
        row.lowerBound = share(row.met, row.total() + most);
        row.upperBound = share(row.met + most, row.total() + most);
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
        const std::vector<std::string_view> part = parts(name);
        if (part.size() != 3) {
            continue;
        }
        if (part[0] == "refused") {
            report.refusals[config::concat({part[1], "/", part[2]})] = value;
        } else if (part[0] == "config") {
            report.publishes[config::concat({part[1], "/", part[2]})] = value;
        } else if (part[0] == "orders") {
            order_row &row = report.orders[std::string(part[1])];
            std::int64_t &target = part[2] == base::toString(base::run_state::ran) ? row.ran
                : part[2] == base::toString(base::run_state::notRun)               ? row.notRun
                                                                                   : row.unknown;
            target += value;
        }
    }
}

void day_aggregator::fillFailures(day_report &report) const
{
    for (const auto &[component, seen] : m_failures) {
        failure_row row;
        row.component = component;
        row.first = seen.byMinute.begin()->first;
        row.last = seen.byMinute.rbegin()->first;
        for (const auto &[minute, duration] : seen.byMinute) {
            row.duration += base::milliseconds(duration);
        }
        report.failures.push_back(std::move(row));
    }
    std::ranges::stable_sort(report.failures, std::ranges::greater{}, &failure_row::duration);
}

} // namespace chervilbend::node
