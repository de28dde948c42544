#pragma once

#include <chervilbend/state/entries.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::state
{

/// The decoded payload of a record.
struct decoded_record {
    std::vector<entry> entries;
    /// Number of entries of an unknown kind or a newer version.
    int skipped = 0;
    /// 1 if the payload is not an array of entries; otherwise the number of entries with missing or invalid fields.
    int malformed = 0;
};

/// Encodes the entries as the JSON array that the log stores as one record. Each entry includes its kind and format version.
std::string encodeRecord(std::span<const entry> entries);

/// Decodes the payload of a record. Does not throw on malformed input.
decoded_record decodeRecord(std::string_view payload);

} // namespace chervilbend::state
