#pragma once

#include <chervilbend/config/endpoint_memory.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <span>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// Whether all declared models fit into the memory of the endpoints, with the calculation.
struct memory_fit {
    bool fits = false;
    /// Lines of text: available memory, demand per model with the endpoints chosen, the sum, and the copies that do not fit.
    std::vector<std::string> calculation;
};

/// Places all copies by first-fit decreasing: the largest models first, each copy on the first endpoint with enough free memory, the copies of a model
/// on different endpoints and, as far as there are enough zones, in different zones. A copy needs its weights, its KV reserve and all its
/// adapters. First-fit decreasing may not find an existing solution, so models that would fit can be rejected, but never the reverse.
memory_fit fitIntoMemory(std::span<const service_declaration> declarations, std::span<const endpoint_memory> endpoints);

} // namespace chervilbend::config
