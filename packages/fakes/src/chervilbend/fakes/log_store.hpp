#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/external/log_service.hpp>
#include <chervilbend/fakes/log_faults.hpp>
#include <chervilbend/fakes/log_store_options.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace chervilbend::fakes
{

/// The records of a log service, with fault injection. Does no I/O; time comes from base::clock.
class log_store
{
public:
    explicit log_store(log_store_options options = {});

    /// Commands.

    /// Appends a record, subject to the injected faults. With status unknown, the record may have been appended, may be appended later,
    /// or may be lost.
    external::append_result append(std::string payload);
    void setFaults(const log_faults &faults);

    /// Calls @p listener after each change until unsubscribe() is called with the returned number.
    std::uint64_t subscribe(std::function<void()> listener);
    void unsubscribe(std::uint64_t subscription);

    /// Queries.

    /// Records with an offset above @p after, up to the page limits.
    external::log_page read(base::log_offset after);
    const log_faults &faults() const;
    base::log_offset head();
    /// The time at which the next late append takes effect; time_point::max() when there is none.
    base::time_point nextLateAppend() const;
    /// Number of append() calls, failed ones included.
    std::uint64_t appendCount() const;

private:
    struct stored_record {
        external::log_record record;
        base::time_point appended;
    };

    void applyDueChanges();
    base::log_offset appendRecord(std::string payload, base::time_point when);
    void notify();

    log_store_options m_options;
    log_faults m_faults;
    seeded_random m_random;
    std::deque<stored_record> m_records;
    std::multimap<base::time_point, std::string> m_delayedAppends;
    std::map<std::uint64_t, std::function<void()>> m_listeners;
    std::uint64_t m_lastSubscription = 0;
    std::uint64_t m_appendCount = 0;
    std::int64_t m_head = 0;
};

} // namespace chervilbend::fakes
