#pragma once

#include <chervilbend/base/ids.hpp>

#include <string>
#include <string_view>

namespace chervilbend::fleet
{

/// Name of the pool of endpoints that serve a request: "SERVICE" for a plain service, "SERVICE/MODEL" or "SERVICE/MODEL/ADAPTER" for engines.
inline std::string poolName(const base::service_id &service, std::string_view model, std::string_view adapter)
{
    std::string name = service.value();
    if (!model.empty()) {
        name.append("/").append(model);
    }
    if (!adapter.empty()) {
        name.append("/").append(adapter);
    }
    return name;
}

} // namespace chervilbend::fleet
