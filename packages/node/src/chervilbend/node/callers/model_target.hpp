#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/config/model_policy.hpp>

#include <string>

namespace chervilbend::node
{

/// Routing target of a declared model or adapter name.
struct model_target {
    /// Pool of the endpoints that hold the item. Equal to the id of the item.
    std::string pool;
    base::service_id service;
    config::model_policy policy;
};

} // namespace chervilbend::node
