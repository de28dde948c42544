#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/membership/crash_suspicion.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace chervilbend::membership
{

/// Fingerprints of requests that are suspected of crashing endpoints. Has a maximum size; the oldest entries are evicted first.
class crash_suspicion_table
{
public:
    crash_suspicion_table(base::milliseconds retention, std::size_t maxSize);

    /// Commands.

    /// Stores the suspicion unless the same or a higher count is known. Returns true if it was stored; it is then sent @p transmissions times.
    bool merge(const crash_suspicion &suspicion, int transmissions);

    /// Returns up to @p count suspicions to send, the least often sent first, and counts them as sent.
    std::vector<crash_suspicion> takeForSending(std::size_t count);

    /// Queries.

    std::vector<crash_suspicion> all() const;

private:
    struct record {
        int crashes = 0;
        int transmissionsLeft = 0;
        base::time_point updatedAt;
    };

    void evictExpired();

    base::milliseconds m_retention;
    std::size_t m_maxSize;
    std::map<std::uint64_t, record> m_records;
};

} // namespace chervilbend::membership
