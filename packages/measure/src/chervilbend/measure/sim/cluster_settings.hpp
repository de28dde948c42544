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
    /// Makes the director of one node.
    std::function<std::unique_ptr<routing::traffic_director>(std::uint64_t seed)> director;
    double durationMs = 120'000;
    std::uint64_t seed = 1;

    /// The first @p slowEngines become slower by @p slowFactor at @p slowFromMs and do not report it.
    int slowEngines = 0;
    double slowFactor = 5;
    double slowFromMs = 20'000;

    /// One caller sends the same poisoned request this often, each time through the next node, as soon as it was refused or failed.
    int poisonSends = 0;
    double restartMs = 5000;
    /// Time that a poisoned request runs until its engine crashes.
    double poisonRunMs = 200;
    double poisonPauseMs = 50;
};

} // namespace chervilbend::measure
