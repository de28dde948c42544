#include <chervilbend/node/reports/day_counters.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/work_class_name.hpp>

namespace chervilbend::node
{

namespace
{

std::string_view nameOf(request_result result)
{
    switch (result) {
    case request_result::met:
        return "met";
    case request_result::late:
        return "late";
    case request_result::refused:
        return "refused";
    case request_result::failed:
        return "failed";
    case request_result::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

std::string requestCounter(std::string_view service, base::work_class urgency, request_result result)
{
    return config::concat({"work/", service, "/", config::nameOf(urgency), "/", nameOf(result)});
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

std::string failureCounter(std::string_view component)
{
    return config::concat({"failed/", component});
}

std::string lostCounter(std::string_view node)
{
    return config::concat({"node/lost/", node});
}

} // namespace chervilbend::node
