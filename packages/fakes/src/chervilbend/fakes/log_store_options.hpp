#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace chervilbend::fakes
{

/// How a log store keeps its records.
struct log_store_options {
    base::milliseconds retention{3'600'000};
    std::size_t maxRecords = 1'000'000;
    /// Most records in one page.
    std::size_t pageRecords = 1'000;
    /// Payload bytes after which a page ends; a page holds at least one record.
    std::size_t pageBytes = 1'024 * 1'024;
    /// Seed of the faults.
    std::uint64_t seed = 1;
};

} // namespace chervilbend::fakes
