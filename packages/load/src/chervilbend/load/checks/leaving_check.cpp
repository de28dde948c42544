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
    return "6 no new requests to a leaving endpoint";
}

check_result leaving_check::check(const run_history &history) const
{
    std::size_t samples = 0;
    std::vector<std::string> evidence;
    for (const event &leavingEvent : history.events) {
        if (leavingEvent.type != "leaving") {
            continue;
        }
        std::int64_t until = INT64_MAX;
        for (const event &end : history.events) {
            if (end.type == "staying" && end.subject == leavingEvent.subject && end.atMs > leavingEvent.atMs) {
                until = std::min(until, end.atMs);
            }
        }
        std::optional<request_count_sample> first;
        for (const request_count_sample &sample : history.requestCounts) {
            if (sample.endpoint != leavingEvent.subject || sample.atMs < leavingEvent.atMs + graceMs || sample.atMs >= until) {
                continue;
            }
            ++samples;
            if (first && sample.requests > first->requests) {
                evidence.push_back(leavingEvent.subject + " marked leaving at " + std::to_string(leavingEvent.atMs) + " received "
                                   + std::to_string(sample.requests - first->requests) + " requests between " + std::to_string(first->atMs) + " and "
                                   + std::to_string(sample.atMs));
                break;
            }
            // A decrease means that the process was restarted.
            first = sample;
        }
    }
    return decide(samples, "samples of leaving endpoints", std::move(evidence));
}

} // namespace chervilbend::load
