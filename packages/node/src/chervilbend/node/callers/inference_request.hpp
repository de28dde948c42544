#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::node
{

/// The routing-relevant fields of a chat or text completion request body.
struct inference_request {
    std::string model;
    bool stream = false;
    /// Estimated at four bytes of prompt text per token.
    base::token_count promptTokens;
    base::token_count maxTokens;
    /// Hash of the model and the first kilobyte of the prompt; 0 if the prompt is too short for prefix affinity to pay off.
    std::uint64_t prefix = 0;
};

/// Parses a JSON request body of the OpenAI-compatible API. Unknown fields are ignored; the engine validates them.
class inference_request_reader : public base::reason_holder
{
public:
    std::optional<inference_request> read(std::string_view body);
};

} // namespace chervilbend::node
