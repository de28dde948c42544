#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/service_declaration.hpp>

#include <boost/json/value.hpp>

#include <optional>

namespace chervilbend::config
{

/// The JSON form of a declaration, as log records carry it. Units: bytes and milliseconds.
boost::json::value toJson(const service_declaration &declaration);

/// Reads the JSON form. Unknown keys are ignored, so that older nodes read records of newer ones.
class declaration_reader : public base::reason_holder
{
public:
    std::optional<service_declaration> read(const boost::json::value &json);
};

} // namespace chervilbend::config
