#pragma once

#include <boost/json/object.hpp>

namespace chervilbend::external
{

/// An answer whose body was a JSON object.
struct json_answer {
    int status = 0;
    boost::json::object body;
};

} // namespace chervilbend::external
