#pragma once

#include <chervilbend/base/ids.hpp>

#include <string>

namespace chervilbend::config
{

/// A violation of a rule in a declaration.
struct declaration_fault {
    base::service_id service;
    /// Path of the member, such as "models[0].copies"; empty if the fault concerns the declaration as a whole.
    std::string path;
    /// Description of the fault: one short sentence without a full stop.
    std::string text;

    friend bool operator==(const declaration_fault &, const declaration_fault &) = default;
};

} // namespace chervilbend::config
