#include <chervilbend/state/internal/daily_counts.hpp>

#include <boost/json/array.hpp>

#include <limits>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

constexpr base::milliseconds dayLength{24 * 3'600'000};

std::int64_t saturatingSum(std::int64_t left, std::int64_t right)
{
    std::int64_t sum = 0;
    if (__builtin_add_overflow(left, right, &sum)) {
        return left < 0 ? std::numeric_limits<std::int64_t>::min() : std::numeric_limits<std::int64_t>::max();
    }
    return sum;
}

} // namespace

bool daily_counts::apply(const minute_counts_entry &day, const record_context &context)
{
    const std::int64_t number = day.minute / dayLength;
    const std::int64_t today = context.time / dayLength;
    // A node with a wrong clock must neither evict the current days nor create days in the future.
    if (day.node.empty() || number <= today - retainedDays || number > today + 1) {
        return false;
    }
    day_view &view = m_days[number];
    const auto [known, isNew] = view.nodes.try_emplace(day.node, day_coverage{day.incarnation, day.minute, day.minute, 0});
    day_coverage &coverage = known->second;
    const bool isRepeated = day.incarnation == coverage.incarnation ? day.minute <= coverage.lastMinute : day.incarnation < coverage.incarnation;
    if (!isNew && isRepeated) {
        return false;
    }
    coverage.incarnation = day.incarnation;
    coverage.lastMinute = std::max(coverage.lastMinute, day.minute);
    ++coverage.minutes;
    for (const auto &[name, count] : day.counts) {
        if (view.counts.size() < maxCountNames || view.counts.contains(name)) {
            std::int64_t &sum = view.counts[name];
            sum = saturatingSum(sum, count);
        }
    }
    std::erase_if(m_days, [today](const auto &each) { return each.first <= today - retainedDays; });
    return true;
}

const std::map<std::int64_t, day_view> &daily_counts::days() const
{
    return m_days;
}

json::object daily_counts::toJson() const
{
    json::array days;
    for (const auto &[number, day] : m_days) {
        json::object counts;
        for (const auto &[name, count] : day.counts) {
            counts[name] = count;
        }
        json::array nodes;
        for (const auto &[node, coverage] : day.nodes) {
            nodes.emplace_back(json::object{{"node", node.value()},
                                            {"life", coverage.incarnation.count()},
                                            {"first", coverage.firstMinute.count()},
                                            {"last", coverage.lastMinute.count()},
                                            {"minutes", coverage.minutes}});
        }
        days.emplace_back(json::object{{"day", number}, {"counts", std::move(counts)}, {"nodes", std::move(nodes)}});
    }
    return {{"days", std::move(days)}};
}

void daily_counts::restore(field_reader &fields)
{
    bool ok = true;
    for (const json::value &each : fields.array("days")) {
        field_reader item(each);
        std::int64_t number = 0;
        item.read("day", number);
        day_view &day = m_days[number];
        field_reader counts(&item.object("counts"));
        for (const auto &member : item.object("counts")) {
            counts.read(member.key(), day.counts[std::string(member.key())]);
        }
        for (const json::value &node : item.array("nodes")) {
            field_reader member(node);
            base::node_id id;
            member.read("node", id);
            day_coverage &coverage = day.nodes[id];
            member.read("life", coverage.incarnation);
            member.read("first", coverage.firstMinute);
            member.read("last", coverage.lastMinute);
            member.read("minutes", coverage.minutes);
            ok = ok && member.isOk();
        }
        ok = ok && item.isOk() && counts.isOk();
    }
    if (!ok) {
        fields.fail();
    }
}

} // namespace chervilbend::state
