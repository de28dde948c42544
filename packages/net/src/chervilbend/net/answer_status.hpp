#pragma once

#include <chervilbend/net/http_types.hpp>

#include <string>
#include <string_view>

namespace chervilbend::net
{

/// Whether the number is an interim status (RFC 9110, section 15.2).
constexpr bool isInterimStatus(unsigned status)
{
    return status >= 100 && status <= 199;
}

/// Whether the number is the status of a final answer, whether or not it has a name.
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

/// The status with three digits, as on the wire.
std::string statusText(unsigned status);

/// The reason phrase of the answer; empty if a status without a name has none.
std::string reasonOf(const http::response_header<> &answer);

/// Sets number and reason, also of a status without a name. An empty reason stands for the usual one, if there is one.
void setStatus(http::response_header<> &answer, unsigned status, std::string_view reason);

/// Copies number and reason. http::response_header::result() isn't enough for that: it is 0 for each number without a name.
void copyStatus(const http::response_header<> &from, http::response_header<> &to);

} // namespace chervilbend::net
