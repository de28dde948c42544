#include <chervilbend/load/checks/own_answer_check.hpp>

namespace chervilbend::load
{

std::string own_answer_check::name() const
{
    return "3 own and whole answers";
}

verdict own_answer_check::check(const run_history &history) const
{
    std::size_t whole = 0;
    std::vector<std::string> evidence;
    for (const attempt &entry : history.attempts) {
        whole += entry.whole ? 1 : 0;
        if (entry.whole && !entry.own) {
            evidence.push_back("another request's or a shortened answer: " + describe(entry));
        } else if (entry.givenUp) {
            evidence.push_back("no whole answer in the caller's patience: " + describe(entry));
        }
    }
    return decide(whole, "whole answers", std::move(evidence));
}

} // namespace chervilbend::load
