#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/config/model_policy.hpp>

#include <string>

namespace chervilbend::node
{

/// What a declared model's or adapter's name stands for.
struct model_target {
    /// Pool of the endpoints that hold the item; the item's id.
    std::string pool;
    base::service_id service;
    config::model_policy policy;
};

} // namespace chervilbend::node
