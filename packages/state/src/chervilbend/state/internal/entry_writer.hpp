#pragma once

#include <chervilbend/state/entries.hpp>

#include <boost/json/object.hpp>

#include <string_view>

namespace chervilbend::state
{

/// The only format version so far.
inline constexpr int entryVersion = 1;

/// The JSON form of an entry, with its kind and version.
boost::json::object toJson(const entry &value);

/// Text that may hold any bytes: under @p key as it is when it is ASCII, otherwise in hexadecimal under @p key + "Hex", because JSON
/// strings must be valid UTF-8.
void writeBytes(boost::json::object &target, std::string_view key, const std::string &bytes);

} // namespace chervilbend::state
