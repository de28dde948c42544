#pragma once

#include <chervilbend/base/work_class.hpp>
#include <chervilbend/net/http_types.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::fakes
{

/// The fields of an OpenAI-compatible completion request that a fake engine uses.
struct completion_request {
    bool chat = false;
    std::string model;
    /// The concatenated texts of all messages or prompts.
    std::string prompt;
    bool stream = false;
    bool includeUsage = false;
    std::int64_t maxTokens = 64;
    base::work_class urgency = base::work_class::normal;

    /// Estimated as one token per four bytes of the prompt, rounded up.
    std::int64_t promptTokens() const
    {
        return (static_cast<std::int64_t>(prompt.size()) + 3) / 4;
    }
};

/// Parses a request. No value when the body is not a JSON object with a string "model".
std::optional<completion_request> completionRequestFrom(const net::http_request &request);

} // namespace chervilbend::fakes
