#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace chervilbend::fakes
{

/// Configuration of a log store.
struct log_store_options {
    base::milliseconds retention{3'600'000};
    std::size_t maxRecords = 1'000'000;
    /// Maximum number of records in a page.
    std::size_t pageRecords = 1'000;
    /// Maximum payload bytes in a page. A page contains at least one record, whatever its size.
    std::size_t pageBytes = 1'024 * 1'024;
    /// Seed for the random faults.
    std::uint64_t seed = 1;
};

} // namespace chervilbend::fakes
