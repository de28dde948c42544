#pragma once

#include <chervilbend/measure/sim/engine_model.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace chervilbend::measure
{

/// The nodes and engines of a simulated run.
struct cluster_settings {
    int engines = 8;
    int nodes = 3;
    engine_settings engine;
    /// Creates the director of one node.
    std::function<std::unique_ptr<routing::traffic_director>(std::uint64_t seed)> director;
    double durationMs = 120'000;
    std::uint64_t seed = 1;

    /// At @p slowFromMs the first @p slowEngines engines become slower by the factor @p slowFactor, which their reports do not show.
    int slowEngines = 0;
    double slowFactor = 5;
    double slowFromMs = 20'000;

    /// Number of times one caller sends the same poison request, each time through the next node, after it was refused or failed.
    int poisonSends = 0;
    double restartMs = 5000;
    /// Time from the arrival of a poison request at an engine until the engine crashes.
    double poisonRunMs = 200;
    double poisonPauseMs = 50;
};

} // namespace chervilbend::measure
