#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::external
{

/// Longest id, address or name that is taken from an answer, in bytes.
inline constexpr std::size_t maxNameBytes = 256;

/// A whole number from @p low to @p high; no value when the field is absent, of another type or out of range.
std::optional<std::int64_t> wholeNumber(const boost::json::object &object, std::string_view field, std::int64_t low, std::int64_t high);

/// A number greater than 0, at most @p high.
std::optional<double> positiveNumber(const boost::json::object &object, std::string_view field, double high);

/// A text of at most @p maxBytes.
std::optional<std::string> text(const boost::json::object &object, std::string_view field, std::size_t maxBytes = maxNameBytes);

/// A boolean; @p fallback when the field is absent, no value when it is of another type.
std::optional<bool> flag(const boost::json::object &object, std::string_view field, bool fallback);

/// The field's array; nullptr when it is absent or of another type.
const boost::json::array *list(const boost::json::object &object, std::string_view field);

} // namespace chervilbend::external
