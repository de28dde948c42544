#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/internal/record_context.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::state
{

/// Counts for the daily report, summed per UTC day.
class daily_counts
{
public:
    /// Adds the counts of a minute. Returns false, without effect, if the node has already reported the minute or if the minute is out of
    /// range.
    bool apply(const minute_counts_entry &day, const record_context &context);

    /// By day number since 1970-01-01 UTC; at most the last retainedDays days.
    const std::map<std::int64_t, day_view> &days() const;

    boost::json::object toJson() const;
    void restore(field_reader &fields);

private:
    static constexpr std::int64_t retainedDays = 3;
    /// Limits the memory that records of a faulty node can occupy.
    static constexpr std::size_t maxCountNames = 256;

    std::map<std::int64_t, day_view> m_days;
};

} // namespace chervilbend::state
