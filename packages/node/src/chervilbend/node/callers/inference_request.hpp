#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::node
{

/// What routing needs from the body of a chat or text completion request.
struct inference_request {
    std::string model;
    bool stream = false;
    /// Estimated: four bytes of prompt text a token.
    base::token_count promptTokens;
    base::token_count maxTokens;
    /// Hash of the model and the first kilobyte of the prompt; 0 when the prompt is too short to be worth an affinity.
    std::uint64_t prefix = 0;
};

/// Reads a JSON body of the OpenAI-compatible API. Fields that it does not know are left to the engine.
class inference_request_reader : public base::reason_holder
{
public:
    std::optional<inference_request> read(std::string_view body);
};

} // namespace chervilbend::node
