#include <chervilbend/measure/decision_cost_measurement.hpp>

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

#include <chrono>
#include <deque>
#include <random>

namespace chervilbend::measure
{

namespace
{

constexpr int requests = 200'000;
/// Processor time per request at the target of 15,000 requests per second and core.
constexpr double budgetNs = 1e9 / 15'000;
/// Open requests per endpoint.
constexpr int openPerEndpoint = 8;
constexpr int accounts = 50;

routing::request_facts drawRequest(std::mt19937_64 &random)
{
    routing::request_facts facts;
    facts.pool = "model@1";
    facts.account = base::account_id("account-" + std::to_string(random() % accounts));
    facts.urgency = static_cast<base::work_class>(random() % base::workClassCount);
    facts.deadline = base::clock::now() + base::milliseconds(60'000);
    facts.promptTokens = base::token_count(static_cast<std::int64_t>(random() % 512));
    facts.maxTokens = base::token_count(static_cast<std::int64_t>(32U << (random() % 6)));
    facts.fingerprint = random();
    facts.prefixHash = random() % 4 == 0 ? random() % 100 + 1 : 0;
    return facts;
}

double nanosecondsPerRequest(const director_factory &factory, int endpoints, std::uint64_t seed)
{
    base::manual_time_source time;
    std::mt19937_64 random(seed);
    const auto director = factory(seed);
    for (int index = 0; index < endpoints; ++index) {
        routing::endpoint_facts facts;
        facts.endpoint = base::endpoint_id("endpoint-" + std::to_string(index));
        facts.pools = {"model@1"};
        director->setEndpoint(facts);
    }
    std::deque<routing::request_handle> open;
    base::reason why;
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < requests; ++index) {
        director->submit(drawRequest(random), why);
        for (const routing::dispatch &dispatched : director->takeDispatches()) {
            open.push_back(dispatched.request);
        }
        director->takeRefusals();
        while (open.size() > static_cast<std::size_t>(endpoints) * openPerEndpoint) {
            const routing::request_handle done = open.front();
            open.pop_front();
            director->firstByte(done);
            director->progress(done, base::token_count(8));
            director->progress(done, base::token_count(16));
            director->finish(done, routing::request_outcome::answered);
        }
        if (index % 10 == 0) {
            time.advance(base::milliseconds(1));
        }
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return static_cast<double>(std::chrono::nanoseconds(elapsed).count()) / requests;
}

} // namespace

std::string decision_cost_measurement::name() const
{
    return "decision-cost";
}

std::vector<figure> decision_cost_measurement::run(std::uint64_t seed)
{
    std::vector<figure> figures;
    for (const int endpoints : {16, 64}) {
        const double measured = nanosecondsPerRequest(adaptive(), endpoints, seed);
        const double randomCost = nanosecondsPerRequest(randomChoice(), endpoints, seed);
        figures.push_back(
            {"decision-cost/" + std::to_string(endpoints) + "-endpoints", measured, randomCost, "ns per request", seed, "<= 66667 ns", measured <= budgetNs});
    }
    return figures;
}

} // namespace chervilbend::measure
