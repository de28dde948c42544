#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <optional>
#include <string>

namespace chervilbend::node
{

/// A publish entry and the result of applying it.
struct publish_record {
    std::string publishId;
    std::string author;
    base::service_id service;
    /// No value if this node has not read the record itself, because it started later, or no longer caches the declaration.
    std::optional<config::service_declaration> declaration;
    /// The version that it is based on and replaces; 0 for a new service.
    base::log_offset base;
    /// Offset of its record, which is its version if it was accepted.
    base::log_offset offset;
    bool accepted = false;
    /// If rejected: the reason, as one short sentence without a full stop.
    std::string why;
    /// If rejected: the version that was in force when the record was applied; 0 if there was none or it is no longer known.
    base::log_offset winner;
};

} // namespace chervilbend::node
