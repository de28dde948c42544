#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/address.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::load
{

/// Configuration of a load run.
struct load_options {
    std::vector<net::address> nodes;
    std::vector<std::string> models;
    /// An adapter that all of the models have; empty for none.
    std::string adapter;
    /// Path of the non-idempotent route; empty for no orders.
    std::string orderPath;
    base::milliseconds duration{10'000};
    /// How long a caller retries one request before it gives up, also beyond the end of the run.
    base::milliseconds retryTimeout{20'000};
    int chatCallers = 8;
    int batchCallers = 4;
    int orderCallers = 6;
    std::uint64_t seed = 1;
};

} // namespace chervilbend::load
