#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/fakes/engine_options.hpp>
#include <chervilbend/net/address.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::fakes
{

/// How a fake engine serves requests.
struct engine_server_options {
    engine_options engine;
    /// Asked how long each load takes; without it, models take 2 s and adapters 6 ms.
    std::optional<net::address> store;
    /// Requests in the batch, and requests that may wait for a place in it.
    std::size_t batchSize = 16;
    std::size_t queueLength = 64;
    /// Time per token of a stream that runs alone. Each other stream adds @p batchSlope of it.
    double tokenMs = 10;
    double batchSlope = 0.05;
    /// Time per token of the prompt that is not cached.
    double promptTokenMs = 0.2;
    base::token_count cacheTokens{100'000};
    base::milliseconds cacheEventLag{500};
    double cacheEventLoss = 0.05;
    /// A prompt that contains this text ends the process; empty for none.
    std::string crashMarker;
    std::uint64_t seed = 1;
};

} // namespace chervilbend::fakes
