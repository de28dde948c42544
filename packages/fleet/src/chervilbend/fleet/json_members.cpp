#include <chervilbend/fleet/json_members.hpp>

namespace chervilbend::fleet
{

bool hasText(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isString();
}

} // namespace chervilbend::fleet
