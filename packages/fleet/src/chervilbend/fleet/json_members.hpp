#pragma once

#include <json/value.h>

namespace chervilbend::fleet
{

/// Whether @p object is an object whose member @p name is a text.
bool hasText(const Json::Value &object, const char *name);

} // namespace chervilbend::fleet
