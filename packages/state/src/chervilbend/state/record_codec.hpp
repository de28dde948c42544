#pragma once

#include <chervilbend/state/entries.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::state
{

/// What a record's payload holds.
struct decoded_record {
    std::vector<entry> entries;
    /// Entries of an unknown kind or a newer version.
    int skipped = 0;
    /// 1 when the payload is not an array of entries; otherwise the number of entries with missing or wrong fields.
    int malformed = 0;
};

/// The JSON array that the log stores as one record. Each entry carries its kind and format version.
std::string encodeRecord(std::span<const entry> entries);

/// Reads a record's payload. Never throws on a damaged one.
decoded_record decodeRecord(std::string_view payload);

} // namespace chervilbend::state
