#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/config/model_declaration.hpp>
#include <chervilbend/config/model_policy.hpp>
#include <chervilbend/config/route_declaration.hpp>

#include <vector>

namespace chervilbend::config
{

/// The merged declarations from all files of one service.
struct service_declaration {
    base::service_id service;
    std::vector<model_declaration> models;
    /// Routes to the instances of this service in the host list.
    std::vector<route_declaration> routes;
    model_policy policy;

    friend bool operator==(const service_declaration &, const service_declaration &) = default;
};

} // namespace chervilbend::config
