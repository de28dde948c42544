#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <optional>
#include <string>

namespace chervilbend::node
{

/// What the fold made of one publish entry.
struct publish_record {
    std::string publishId;
    std::string author;
    base::service_id service;
    /// No value when this node has not seen the record itself, because it started later.
    std::optional<config::service_declaration> declaration;
    /// The version that it was to replace; 0 for a new service.
    base::log_offset base;
    /// Offset of its record; its version when it was accepted.
    base::log_offset offset;
    bool accepted = false;
    /// Of a rejected one: why, as one short sentence without a full stop.
    std::string why;
    /// Of a rejected one: the version in force when it was folded; 0 for none, or when it is not known any more.
    base::log_offset winner;
};

} // namespace chervilbend::node
