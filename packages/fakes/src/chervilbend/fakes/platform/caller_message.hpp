#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/http_types.hpp>

#include <string>

namespace chervilbend::fakes
{

/// What a caller of the platform sends with one attempt.
struct caller_message {
    std::string method;
    std::string host;
    std::string path;
    std::string attempt;
    /// How long the caller waits.
    base::milliseconds timeout{0};
    /// Further header lines, each with its line end.
    std::string fields;
    std::string body;
};

/// The message as it is sent.
std::string toText(const caller_message &message);

/// Whether the answer has the seal of a server.
bool isSealed(const net::http_response &answer);

} // namespace chervilbend::fakes
