#pragma once

#include <chervilbend/state/entries.hpp>
#include <chervilbend/state/internal/field_reader.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::state
{

enum class entry_status {
    ok,
    /// The kind is unknown or the version is newer.
    skipped,
    /// Fields are missing or invalid.
    malformed,
};

/// Parses one entry of a record into @p target, which is changed only if the status is ok.
entry_status readEntry(const boost::json::value &json, entry &target);

/// Reads a string written by writeBytes().
void readBytes(field_reader &fields, std::string_view key, std::string &target);

} // namespace chervilbend::state
