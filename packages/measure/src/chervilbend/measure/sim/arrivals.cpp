#include <chervilbend/measure/sim/arrivals.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::measure
{

namespace
{

/// Prompt lengths are uniform up to this many tokens.
constexpr int promptBound = 512;
/// Mean time in the high and in the low phase of a swing.
constexpr double phaseMs = 2000;
constexpr double swing = 10;
constexpr int accountCount = 8;
/// Bound of generated tokens where callers do not set it by the length that they expect.
constexpr int commonBound = 2048;

/// Fills in what does not depend on the time of arrival.
void draw(job &each, const arrival_settings &settings, std::mt19937_64 &random)
{
    each.tokens = settings.length(random, each.isLong);
    each.promptTokens = static_cast<int>(uniform(random) * promptBound);
    const double slack = std::exp(uniform(random) * std::log(4.0));
    each.maxTokens = settings.declaresLength ? static_cast<int>(each.tokens * slack) + 1 : commonBound;
    each.account = static_cast<int>(uniform(random) * accountCount);
    each.node = static_cast<int>(uniform(random) * settings.nodes);
    each.fingerprint = random() | 1U;
    const double kind = uniform(random);
    each.urgency = kind < settings.urgentShare               ? base::work_class::urgent
        : kind < settings.urgentShare + settings.normalShare ? base::work_class::normal
                                                             : base::work_class::batch;
}

double deadlineOf(const job &each)
{
    // The design's target is 70 ms between tokens; less urgent work is given more time to wait.
    switch (each.urgency) {
    case base::work_class::urgent:
        return each.arrival + 2000 + 70.0 * each.maxTokens;
    case base::work_class::normal:
        return each.arrival + 8000 + 100.0 * each.maxTokens;
    case base::work_class::batch:
        break;
    }
    return each.arrival + 60'000 + 200.0 * each.maxTokens;
}

void stretch(std::vector<job> &jobs, const arrival_settings &settings)
{
    double cost = 0;
    for (const job &each : jobs) {
        cost += each.tokens + each.promptTokens / settings.engine.promptTokensPerStep;
    }
    const double offered = cost / (settings.durationMs * settings.engines * settings.engine.fullRate());
    for (job &each : jobs) {
        each.arrival *= offered / settings.load(0);
        each.deadline = deadlineOf(each);
    }
}

} // namespace

double uniform(std::mt19937_64 &random)
{
    return std::generate_canonical<double, 53>(random);
}

double exponential(std::mt19937_64 &random, double mean)
{
    return -std::log(1 - uniform(random)) * mean;
}

int heavyTailedLength(std::mt19937_64 &random, bool &isLong)
{
    constexpr double least = 20;
    constexpr double most = 2000;
    constexpr double exponent = 1.5;
    const double tail = 1 - std::pow(least / most, exponent);
    const double length = least / std::pow(1 - uniform(random) * tail, 1 / exponent);
    isLong = false;
    return static_cast<int>(length);
}

std::vector<job> makeArrivals(const arrival_settings &settings, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double costPerJob = settings.meanTokens + promptBound / 2.0 / settings.engine.promptTokensPerStep;
    const double fullRate = settings.engines * settings.engine.fullRate() / costPerJob;
    const double low = 2 / (1 + swing);
    double factor = settings.swings ? low : 1;
    double phaseEnd = settings.swings ? exponential(random, phaseMs) : settings.durationMs;
    std::vector<job> jobs;
    double now = 0;
    while (now < settings.durationMs) {
        const double gap = exponential(random, 1 / std::max(1e-9, fullRate * settings.load(now) * factor));
        // Beyond a change of rate, or a tenth of a second of a load that changes, the gap is drawn anew: arrivals have no memory.
        const double horizon = std::min(phaseEnd, now + 100);
        if (now + gap > horizon) {
            now = horizon;
            if (now >= phaseEnd) {
                factor = factor == low ? low * swing : low;
                phaseEnd = now + exponential(random, phaseMs);
            }
            continue;
        }
        now += gap;
        job each;
        each.arrival = now;
        draw(each, settings, random);
        each.deadline = deadlineOf(each);
        jobs.push_back(each);
    }
    if (settings.exactLoad) {
        stretch(jobs, settings);
    }
    return jobs;
}

} // namespace chervilbend::measure
