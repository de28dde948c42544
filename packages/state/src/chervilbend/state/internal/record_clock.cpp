#include <chervilbend/state/internal/record_clock.hpp>

#include <algorithm>
#include <vector>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

/// A node's timestamp is dropped once this many timestamps have followed it; timestamps of replaced nodes would otherwise hold the median
/// back indefinitely. 2,048 timestamps correspond to about one minute of heartbeats of 32 nodes.
constexpr std::int64_t maxReadingAge = 2048;

} // namespace

void record_clock::observe(const base::node_id &node, base::milliseconds wallTime)
{
    m_readings[node] = {wallTime, ++m_sequence};
    removeSilentNodes();
    std::vector<base::milliseconds> times;
    times.reserve(m_readings.size());
    for (const auto &[id, last] : m_readings) {
        times.push_back(last.time);
    }
    const auto median = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), median, times.end());
    m_now = std::max(m_now, *median);
}

void record_clock::removeSilentNodes()
{
    std::erase_if(m_readings, [this](const auto &each) { return each.second.sequence <= m_sequence - maxReadingAge; });
}

base::milliseconds record_clock::now() const
{
    return m_now;
}

json::object record_clock::toJson() const
{
    json::object target;
    target["now"] = m_now.count();
    target["sequence"] = m_sequence;
    json::array readings;
    for (const auto &[node, last] : m_readings) {
        readings.emplace_back(json::object{{"node", node.value()}, {"time", last.time.count()}, {"sequence", last.sequence}});
    }
    target["readings"] = std::move(readings);
    return target;
}

void record_clock::restore(field_reader &fields)
{
    fields.read("now", m_now);
    fields.read("sequence", m_sequence);
    for (const json::value &each : fields.array("readings")) {
        field_reader item(each);
        base::node_id node;
        reading last;
        item.read("node", node);
        item.read("time", last.time);
        item.read("sequence", last.sequence);
        m_readings[node] = last;
        if (!item.isOk()) {
            fields.fail();
        }
    }
}

} // namespace chervilbend::state
