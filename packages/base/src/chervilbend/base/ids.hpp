#pragma once

#include <chervilbend/base/strong_id.hpp>

namespace chervilbend::base
{

/// A node, which stands for the host that it runs on.
using node_id = strong_id<struct node_id_tag>;
/// A model engine or an instance of a plain service.
using endpoint_id = strong_id<struct endpoint_id_tag>;
/// An availability zone.
using zone_id = strong_id<struct zone_id_tag>;
/// A customer on whose behalf callers send requests.
using account_id = strong_id<struct account_id_tag>;
/// A service whose files declare models and routes.
using service_id = strong_id<struct service_id_tag>;
/// A model or adapter that can be loaded into an accelerator's memory: "model@version" or "model@version/adapter@version".
using item_id = strong_id<struct item_id_tag>;
/// A version of the software that endpoints of a service run. Not to be confused with the version of a model's weights.
using software_version = strong_id<struct software_version_tag>;
/// The name of a lease: "planner" or "endpoint/ID".
using lease_name = strong_id<struct lease_name_tag>;

} // namespace chervilbend::base
