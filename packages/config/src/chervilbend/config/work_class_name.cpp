#include <chervilbend/config/work_class_name.hpp>

namespace chervilbend::config
{

std::string_view nameOf(base::work_class urgency)
{
    switch (urgency) {
    case base::work_class::urgent:
        return "urgent";
    case base::work_class::normal:
        return "normal";
    case base::work_class::batch:
        break;
    }
    return "batch";
}

std::optional<base::work_class> parseWorkClass(std::string_view name)
{
    for (const base::work_class urgency : {base::work_class::urgent, base::work_class::normal, base::work_class::batch}) {
        if (name == nameOf(urgency)) {
            return urgency;
        }
    }
    return std::nullopt;
}

} // namespace chervilbend::config
