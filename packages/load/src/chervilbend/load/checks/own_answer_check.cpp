#include <chervilbend/load/checks/own_answer_check.hpp>

namespace chervilbend::load
{

std::string own_answer_check::name() const
{
    return "3 complete responses match their requests";
}

check_result own_answer_check::check(const run_history &history) const
{
    std::size_t completeResponses = 0;
    std::vector<std::string> evidence;
    for (const attempt &entry : history.attempts) {
        completeResponses += entry.isComplete ? 1 : 0;
        if (entry.isComplete && !entry.matchesRequest) {
            evidence.push_back("response with a wrong or truncated text: " + describe(entry));
        } else if (entry.givenUp) {
            evidence.push_back("no complete response before the retry timeout: " + describe(entry));
        }
    }
    return decide(completeResponses, "complete responses", std::move(evidence));
}

} // namespace chervilbend::load
