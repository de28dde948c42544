#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::external
{

/// Limits on time and size for calls to the platform's services.
struct http_adapter_options {
    base::milliseconds connectTimeout{1'000};
    /// From the request to the last byte of the answer; the wait of a long poll is added.
    base::milliseconds answerTimeout{3'000};
    /// Maximum size of an answer's body in bytes; a larger one is an error.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

} // namespace chervilbend::external
