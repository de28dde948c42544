#pragma once

#include <string_view>

namespace chervilbend::peers
{

/// Header of requests and answers that holds their signature.
inline constexpr std::string_view signatureHeader = "Chervilbend-Signature";

} // namespace chervilbend::peers
