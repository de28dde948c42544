#include <chervilbend/load/checks/leaving_check.hpp>

#include <optional>

namespace chervilbend::load
{

namespace
{
constexpr std::int64_t graceMs = 5'000;
} // namespace

std::string leaving_check::name() const
{
    return "6 no new work to a leaving endpoint";
}

verdict leaving_check::check(const run_history &history) const
{
    std::size_t samples = 0;
    std::vector<std::string> evidence;
    for (const event &mark : history.events) {
        if (mark.what != "leaving") {
            continue;
        }
        std::int64_t until = INT64_MAX;
        for (const event &end : history.events) {
            if (end.what == "staying" && end.who == mark.who && end.atMs > mark.atMs) {
                until = std::min(until, end.atMs);
            }
        }
        std::optional<work_sample> first;
        for (const work_sample &sample : history.work) {
            if (sample.endpoint != mark.who || sample.atMs < mark.atMs + graceMs || sample.atMs >= until) {
                continue;
            }
            ++samples;
            if (first && sample.taken > first->taken) {
                evidence.push_back(mark.who + " marked leaving at " + std::to_string(mark.atMs) + " took " + std::to_string(sample.taken - first->taken)
                                   + " requests between " + std::to_string(first->atMs) + " and " + std::to_string(sample.atMs));
                break;
            }
            // A smaller count is that of a new process.
            first = sample;
        }
    }
    return decide(samples, "samples of leaving endpoints", std::move(evidence));
}

} // namespace chervilbend::load
