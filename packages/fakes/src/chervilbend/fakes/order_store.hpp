#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chervilbend::fakes
{

/// What a plain service for orders or bookings has run, counted by idempotency key.
class order_store
{
public:
    /// Runs an order and gives how often its key has run now.
    std::int64_t run(const std::string &key);

    const std::map<std::string, std::int64_t> &runs() const;
    std::int64_t runsOf(const std::string &key) const;
    /// Runs beyond the first of each key.
    std::int64_t duplicates() const;

private:
    std::map<std::string, std::int64_t> m_runs;
};

} // namespace chervilbend::fakes
