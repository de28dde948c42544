#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::external
{

/// How long an adapter waits for a service of the platform, and how much it reads.
struct http_adapter_options {
    base::milliseconds connectTimeout{1'000};
    /// From the request to the last byte of the answer; a long poll's wait comes on top.
    base::milliseconds answerTimeout{3'000};
    /// Longest body of an answer in bytes; a longer one is an error.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

} // namespace chervilbend::external
