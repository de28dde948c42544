#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/state/internal/field_reader.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::state
{

/// Wall-clock time derived from the timestamps in the records, so that all nodes expire state at the same record.
///
/// The time is the lower median of the latest timestamp of each node and never decreases. A single node with a wrong clock can therefore
/// neither expire the keys of all nodes nor stop the time.
class record_clock
{
public:
    void observe(const base::node_id &node, base::milliseconds wallTime);

    base::milliseconds now() const;

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    struct reading {
        base::milliseconds time{0};
        std::int64_t sequence = 0;
    };

    void removeSilentNodes();

    std::map<base::node_id, reading> m_readings;
    std::int64_t m_sequence = 0;
    base::milliseconds m_now{0};
};

} // namespace chervilbend::state
