#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <boost/json/value.hpp>

#include <optional>

namespace chervilbend::config
{

/// Converts a declaration to JSON, the format of log records. Sizes are in bytes and times in milliseconds.
boost::json::value toJson(const service_declaration &declaration);

/// Reads a declaration from JSON. Unknown keys are ignored, so that older nodes can read the records of newer ones.
class declaration_reader : public base::reason_holder
{
public:
    std::optional<service_declaration> read(const boost::json::value &json);
};

} // namespace chervilbend::config
