#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/state/internal/field_reader.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::state
{

/// Wall-clock time derived from the times that nodes write into their records, so that all nodes expire things at the same record.
///
/// It is the lower median of the nodes' last readings and never goes back: one node with a wrong clock can neither expire the keys of
/// all nodes nor stop the time.
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

    void forgetSilentNodes();

    std::map<base::node_id, reading> m_readings;
    std::int64_t m_sequence = 0;
    base::milliseconds m_now{0};
};

} // namespace chervilbend::state
