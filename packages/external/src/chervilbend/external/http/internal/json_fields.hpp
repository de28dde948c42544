#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::external
{

/// Maximum length of an id, address or name in an answer, in bytes.
inline constexpr std::size_t maxNameBytes = 256;

/// An integer from @p minimum to @p maximum. No value when the field is absent, of another type or out of range.
std::optional<std::int64_t> integerField(const boost::json::object &object, std::string_view field, std::int64_t minimum, std::int64_t maximum);

/// A number greater than 0 and at most @p maximum.
std::optional<double> positiveNumberField(const boost::json::object &object, std::string_view field, double maximum);

/// A string of at most @p maxBytes bytes.
std::optional<std::string> stringField(const boost::json::object &object, std::string_view field, std::size_t maxBytes = maxNameBytes);

/// A boolean; @p fallback when the field is absent, no value when it is of another type.
std::optional<bool> booleanField(const boost::json::object &object, std::string_view field, bool fallback);

/// The field's array; nullptr when it is absent or of another type.
const boost::json::array *arrayField(const boost::json::object &object, std::string_view field);

} // namespace chervilbend::external
