#include <chervilbend/measure/sim/arrivals.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::measure
{

namespace
{

/// Prompt lengths are distributed uniformly below this number of tokens.
constexpr int maxPromptTokens = 512;
/// Mean duration of the phases of high and of low rate.
constexpr double meanPhaseMs = 2000;
constexpr double burstFactor = 10;
constexpr int accountCount = 8;
/// max_tokens of callers that do not derive it from the length they expect.
constexpr int defaultMaxTokens = 2048;

/// Draws all fields that do not depend on the arrival time.
void drawJob(job &each, const arrival_settings &settings, std::mt19937_64 &random)
{
    each.tokens = settings.length(random, each.isLong);
    each.promptTokens = static_cast<int>(uniform(random) * maxPromptTokens);
    const double slack = std::exp(uniform(random) * std::log(4.0));
    each.maxTokens = settings.declaresLength ? static_cast<int>(each.tokens * slack) + 1 : defaultMaxTokens;
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
    // Urgent: the design's target of 70 ms per token. Less urgent classes get more time to wait.
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

void scaleToLoad(std::vector<job> &jobs, const arrival_settings &settings)
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
    constexpr double shortest = 20;
    constexpr double longest = 2000;
    constexpr double exponent = 1.5;
    const double tail = 1 - std::pow(shortest / longest, exponent);
    const double length = shortest / std::pow(1 - uniform(random) * tail, 1 / exponent);
    isLong = false;
    return static_cast<int>(length);
}

std::vector<job> makeArrivals(const arrival_settings &settings, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double costPerJob = settings.meanTokens + maxPromptTokens / 2.0 / settings.engine.promptTokensPerStep;
    const double fullRate = settings.engines * settings.engine.fullRate() / costPerJob;
    const double low = 2 / (1 + burstFactor);
    double factor = settings.bursty ? low : 1;
    double phaseEnd = settings.bursty ? exponential(random, meanPhaseMs) : settings.durationMs;
    std::vector<job> jobs;
    double now = 0;
    while (now < settings.durationMs) {
        const double gap = exponential(random, 1 / std::max(1e-9, fullRate * settings.load(now) * factor));
        // The rate changes at the end of a phase and is sampled every 100 ms. A gap that goes beyond is drawn again from there, which is
        // correct because Poisson arrivals are memoryless.
        const double horizon = std::min(phaseEnd, now + 100);
        if (now + gap > horizon) {
            now = horizon;
            if (now >= phaseEnd) {
                factor = factor == low ? low * burstFactor : low;
                phaseEnd = now + exponential(random, meanPhaseMs);
            }
            continue;
        }
        now += gap;
        job each;
        each.arrival = now;
        drawJob(each, settings, random);
        each.deadline = deadlineOf(each);
        jobs.push_back(each);
    }
    if (settings.exactLoad) {
        scaleToLoad(jobs, settings);
    }
    return jobs;
}

} // namespace chervilbend::measure
