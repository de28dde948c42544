#pragma once

#include <string>
#include <string_view>

namespace chervilbend::fakes
{

/// How the bytes of a key that are not UTF-8 stand in JSON.
enum class key_encoding {
    /// As they are.
    rawBytes,
    /// Each as the escape \udc80 to \udcff.
    singleSurrogates,
};

/// The key as a JSON string with its quotes.
std::string keyToJson(std::string_view key, key_encoding encoding);

} // namespace chervilbend::fakes
