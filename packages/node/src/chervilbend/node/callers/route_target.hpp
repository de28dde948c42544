#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/config/route_declaration.hpp>

#include <string>

namespace chervilbend::node
{

/// Routing target of a declared route of a plain service.
struct route_target {
    /// "service/ID".
    std::string pool;
    base::service_id service;
    config::route_declaration route;
};

} // namespace chervilbend::node
