#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/membership/crash_suspicion.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace chervilbend::membership
{

/// Request fingerprints that nodes suspect of crashing endpoints. Bounded; the oldest are forgotten first.
class crash_suspicion_table
{
public:
    crash_suspicion_table(base::milliseconds memory, std::size_t maxSize);

    /// Commands.

    /// Keeps the greater count. True when it was not known; it is then spread @p transmissions times.
    bool learn(const crash_suspicion &suspicion, int transmissions);

    /// Up to @p count suspicions to send, least often sent first.
    std::vector<crash_suspicion> take(std::size_t count);

    /// Queries.

    std::vector<crash_suspicion> all() const;

private:
    struct record {
        int crashes = 0;
        int transmissionsLeft = 0;
        base::time_point learnedAt;
    };

    void forgetOld();

    base::milliseconds m_memory;
    std::size_t m_maxSize;
    std::map<std::uint64_t, record> m_records;
};

} // namespace chervilbend::membership
