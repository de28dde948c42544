#include <chervilbend/measure/proxy/account_cost_measurement.hpp>

#include <chervilbend/fakes/platform/caller_message.hpp>
#include <chervilbend/fleet/caller_request.hpp>
#include <chervilbend/fleet/route_table.hpp>
#include <chervilbend/measure/proxy/blocking_caller.hpp>
#include <chervilbend/measure/proxy/echo_endpoint.hpp>
#include <chervilbend/measure/proxy/route_thread.hpp>
#include <chervilbend/node/callers/caller_authentication.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace chervilbend::measure
{

namespace
{

constexpr double noBaseline = std::numeric_limits<double>::quiet_NaN();
constexpr double largestRatio = 1.02;
/// Rounds alternate between the two configurations and are short, so that other load on the machine affects both equally.
constexpr int roundPairs = 300;
constexpr int requestsPerRound = 250;
constexpr int accounts = 16;
constexpr int keysPerAccount = 2;
constexpr int lookups = 1'000'000;
constexpr double microsecondsPerSecond = 1e6;

std::string keyOf(int account, int key)
{
    return "k7b2ex5wa5xwyhks8nbk-" + std::to_string(account) + "-" + std::to_string(key);
}

std::shared_ptr<fleet::traffic_configuration> configurationWithoutAccounts()
{
    auto configuration = std::make_shared<fleet::traffic_configuration>();
    configuration->version = 1;
    fleet::route_rule &route = configuration->routes.emplace_back();
    route.host = "h.example";
    route.pathPrefix = "/status/";
    route.kind = fleet::route_kind::repeatable;
    route.shares.push_back({base::service_id("desk"), 1});
    return configuration;
}

std::shared_ptr<fleet::traffic_configuration> configurationWithAccounts()
{
    auto configuration = configurationWithoutAccounts();
    std::vector<fleet::account_rule> &rules = configuration->accounts.emplace();
    for (int account = 0; account < accounts; ++account) {
        fleet::account_rule &rule = rules.emplace_back();
        rule.id = base::account_id("account-" + std::to_string(account));
        for (int key = 0; key < keysPerAccount; ++key) {
            rule.keys.push_back(keyOf(account, key));
        }
    }
    return configuration;
}

std::string requestOf(const std::string &attempt, const std::string &key)
{
    return fakes::toText({"POST", "h.example", "/status/x", attempt, base::milliseconds(20'000), "Authorization: Token " + key + "\r\n", attempt});
}

/// The node's processor time for each request, in microseconds. Both configurations get the same requests, also with the same keys.
double timeRound(blocking_caller &caller, const route_thread &node, int round, int &wrong)
{
    const double before = node.processorSeconds();
    for (int i = 0; i < requestsPerRound; ++i) {
        const std::string attempt = "m-" + std::to_string(round) + "-" + std::to_string(i);
        wrong += caller.exchange(requestOf(attempt, keyOf(i % accounts, round % keysPerAccount)), attempt) ? 0 : 1;
    }
    return (node.processorSeconds() - before) * microsecondsPerSecond / requestsPerRound;
}

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Elapsed time of one authentication, with the copy of its key, in microseconds.
double timeAuthentication(int &wrong)
{
    const fleet::route_table table(configurationWithAccounts());
    const fleet::route_rule &route = table.configuration().routes.front();
    const node::caller_authentication authentication({});
    fleet::caller_request caller;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < lookups; ++i) {
        caller.key = table.configuration().accounts->at(static_cast<std::size_t>(i % accounts)).keys.front();
        wrong += authentication.authenticate(table, route, caller, false, base::milliseconds(0)).rule ? 0 : 1;
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() * microsecondsPerSecond / lookups;
}

} // namespace

std::vector<figure> account_cost_measurement::run(std::uint64_t seed)
{
    const echo_endpoint endpoint;
    route_thread node(endpoint.port());
    blocking_caller caller(node.port());
    const auto without = configurationWithoutAccounts();
    const auto with = configurationWithAccounts();
    std::vector<double> withTimes;
    std::vector<double> withoutTimes;
    int wrong = 0;
    for (int pair = -1; pair < roundPairs; ++pair) {
        for (const bool isSecond : {false, true}) {
            // Pairs begin with either configuration in turn, and the first pair only warms up.
            const bool hasAccounts = isSecond == (pair % 2 != 0);
            node.setConfiguration(hasAccounts ? with : without);
            const double time = timeRound(caller, node, std::max(0, pair), wrong);
            if (pair >= 0) {
                (hasAccounts ? withTimes : withoutTimes).push_back(time);
            }
        }
    }
    const double measured = medianOf(withTimes);
    const double baseline = medianOf(withoutTimes);
    const double authentication = timeAuthentication(wrong);
    return {{"account-cost: request with accounts", measured, baseline, "us of cpu", seed, "<= 1.02 x baseline", measured <= baseline * largestRatio},
            {"account-cost: authentication alone", authentication, baseline, "us", seed, "none", true},
            {"account-cost: wrong answers", static_cast<double>(wrong), noBaseline, "answers", seed, "0", wrong == 0}};
}

} // namespace chervilbend::measure
