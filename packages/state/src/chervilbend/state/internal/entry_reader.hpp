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
    /// Unknown kind or newer version.
    skipped,
    /// Missing or wrong fields.
    malformed,
};

/// Reads one entry of a record into @p target, which is only changed when the status is ok.
entry_status readEntry(const boost::json::value &json, entry &target);

/// Reverses writeBytes().
void readBytes(field_reader &fields, std::string_view key, std::string &target);

} // namespace chervilbend::state
