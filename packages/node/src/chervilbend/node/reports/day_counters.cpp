#include <chervilbend/node/reports/day_counters.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/work_class_name.hpp>

namespace chervilbend::node
{

namespace
{

std::string_view nameOf(work_end end)
{
    switch (end) {
    case work_end::met:
        return "met";
    case work_end::late:
        return "late";
    case work_end::refused:
        return "refused";
    case work_end::failed:
        return "failed";
    case work_end::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

std::string workCounter(std::string_view service, base::work_class urgency, work_end end)
{
    return config::concat({"work/", service, "/", config::nameOf(urgency), "/", nameOf(end)});
}

std::string refusalCounter(std::string_view service, base::error_kind kind)
{
    return config::concat({"refused/", service, "/", base::answerFor(kind).name});
}

std::string orderCounter(std::string_view service, base::run_state state)
{
    return config::concat({"orders/", service, "/", base::toString(state)});
}

std::string configCounter(std::string_view service, bool accepted)
{
    return config::concat({"config/", service, accepted ? "/accepted" : "/rejected"});
}

std::string failureCounter(std::string_view what)
{
    return config::concat({"failed/", what});
}

std::string lostCounter(std::string_view node)
{
    return config::concat({"node/lost/", node});
}

} // namespace chervilbend::node
