#include <chervilbend/fleet/service_rule.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

const model_rule *engine_rule::findModel(const std::string &name) const
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const model_rule &model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

} // namespace chervilbend::fleet
