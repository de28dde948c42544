#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chervilbend::fakes
{

/// Execution counts of a plain service for orders or bookings, by idempotency key.
class order_store
{
public:
    /// Executes an order. Returns the number of executions with this key so far.
    std::int64_t run(const std::string &key);

    const std::map<std::string, std::int64_t> &runs() const;
    std::int64_t runsOf(const std::string &key) const;
    /// Number of executions beyond the first of each key.
    std::int64_t duplicates() const;

private:
    std::map<std::string, std::int64_t> m_runs;
};

} // namespace chervilbend::fakes
