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

/// Configuration of a fake engine.
struct engine_server_options {
    engine_options engine;
    /// Weight store that determines load times. Without one, models take 2 s and adapters 6 ms to load.
    std::optional<net::address> store;
    /// Maximum numbers of running and of queued requests.
    std::size_t batchSize = 16;
    std::size_t queueLength = 64;
    /// Milliseconds per generated token of a request that runs alone. Each other running request adds the fraction @p batchSlope.
    double tokenMs = 10;
    double batchSlope = 0.05;
    /// Milliseconds per prompt token that is not cached.
    double promptTokenMs = 0.2;
    base::token_count cacheTokens{100'000};
    base::milliseconds cacheEventLag{500};
    double cacheEventLoss = 0.05;
    /// A prompt that contains this text terminates the process; empty to disable.
    std::string crashMarker;
    std::uint64_t seed = 1;
};

} // namespace chervilbend::fakes
