#pragma once

#include <chervilbend/config/endpoint_memory.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <span>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// Whether all declared models fit into the memory of the endpoints, and how that was calculated.
struct memory_fit {
    bool fits = false;
    /// Need per model with the endpoints found, the sum, and what has no place.
    std::vector<std::string> calculation;
};

/// Places all copies by first-fit decreasing: the greatest models first, each copy on the first endpoint with room, the copies of a model
/// on different endpoints and, as far as there are zones, in different zones. A copy needs its weights, its KV reserve and all its
/// adapters. First-fit decreasing may fail where a cleverer packing would succeed, so it errs on the side of refusing.
memory_fit fitIntoMemory(std::span<const service_declaration> declarations, std::span<const endpoint_memory> endpoints);

} // namespace chervilbend::config
