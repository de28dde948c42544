#pragma once

#include <chervilbend/state/entries.hpp>

#include <boost/json/object.hpp>

#include <string_view>

namespace chervilbend::state
{

/// Format version of the entries.
inline constexpr int entryVersion = 1;

/// Serializes an entry, including its kind and version.
boost::json::object toJson(const entry &value);

/// Writes a string of arbitrary bytes: unchanged under @p key if it is ASCII, otherwise in hexadecimal under @p key + "Hex", because JSON
/// strings must be valid UTF-8.
void writeBytes(boost::json::object &target, std::string_view key, const std::string &bytes);

} // namespace chervilbend::state
