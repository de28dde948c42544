#include <chervilbend/node/callers/run_evidence.hpp>

namespace chervilbend::node
{

std::string_view toString(run_evidence evidence)
{
    switch (evidence) {
    case run_evidence::notSent:
        return "not_sent";
    case run_evidence::namedRefusal:
        return "named_refusal";
    case run_evidence::unnamedRefusal:
        return "unnamed_refusal";
    case run_evidence::none:
        break;
    }
    return "none";
}

} // namespace chervilbend::node
