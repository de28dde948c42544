#include <chervilbend/config/model_declaration.hpp>

namespace chervilbend::config
{

base::item_id itemOf(const model_declaration &model)
{
    return base::item_id(model.name + '@' + model.version);
}

base::item_id itemOf(const model_declaration &model, const adapter_declaration &adapter)
{
    return base::item_id(itemOf(model).value() + '/' + adapter.name + '@' + adapter.version);
}

base::item_id baseItemOf(const base::item_id &item)
{
    return base::item_id(item.value().substr(0, item.value().find('/')));
}

std::string nameOf(const base::item_id &item)
{
    std::string name;
    bool inVersion = false;
    for (const char c : item.value()) {
        inVersion = c == '@' || (inVersion && c != '/');
        if (!inVersion) {
            name += c;
        }
    }
    return name;
}

} // namespace chervilbend::config
