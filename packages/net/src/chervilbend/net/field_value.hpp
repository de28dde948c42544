#pragma once

#include <string_view>

namespace chervilbend::net
{

/// Whether a header field carries @p text to its receiver as it is: not empty, of at most 255 bytes, without control characters and without spaces at its ends,
/// which receivers cut off. Beast writes field values without a check, so that a line break in one would begin another field, or another request.
bool isFieldValue(std::string_view text);

} // namespace chervilbend::net
