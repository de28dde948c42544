#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// A part of a prompt that other requests may share.
struct prompt_part {
    std::string id;
    base::token_count tokens;
};

/// What a caller's request says of itself, beside method, path and body.
struct caller_request {
    /// Different for each attempt of a caller.
    std::string attempt;
    /// How long the caller will wait; no value when it does not say.
    std::optional<base::milliseconds> timeout;
    /// Empty for requests to plain services.
    std::string model;
    /// Empty for the model itself.
    std::string adapter;
    base::token_count promptTokens;
    /// Upper bound of generated tokens.
    base::token_count maxTokens;
    /// In the order of the prompt; the last one is the session's own.
    std::vector<prompt_part> prompt;
    /// The caller has the events of a stream up to this one.
    std::optional<std::int64_t> lastEvent;
};

} // namespace chervilbend::fleet
