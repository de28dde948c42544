#pragma once

#include <string>
#include <vector>

namespace chervilbend::net::test
{

/// Statuses of three digits that are no final or interim status of HTTP.
inline const std::vector<std::string> statusesOutsideTheProtocol{"000", "001", "099", "600", "999"};

/// What stands in the place of a status and is none.
inline const std::vector<std::string> malformedStatuses{"", "2", "20", "2000", "0200", "+20", "-20", "+200", "-200", "2.0", "2x0"};

/// An answer of @p status with an empty body.
inline std::string emptyAnswer(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

/// Message of an assertion about what a caller got when an endpoint answered with @p status.
inline std::string describe(const std::string &status, const std::string &got)
{
    return std::string(status).append(": ").append(got);
}

} // namespace chervilbend::net::test
