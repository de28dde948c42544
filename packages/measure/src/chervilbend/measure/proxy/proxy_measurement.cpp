#include <chervilbend/measure/proxy/proxy_measurement.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/process_memory.hpp>
#include <chervilbend/measure/proxy/blocking_caller.hpp>
#include <chervilbend/measure/proxy/echo_endpoint.hpp>
#include <chervilbend/measure/proxy/proxy_thread.hpp>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <limits>
#include <malloc.h>
#include <memory>
#include <optional>
#include <sys/resource.h>
#include <thread>

namespace chervilbend::measure
{

namespace
{

using wall_clock = std::chrono::steady_clock;

constexpr double noBaseline = std::numeric_limits<double>::quiet_NaN();
constexpr int latencyRounds = 60;
constexpr int requestsPerRound = 50;
constexpr int loadCallers = 16;
constexpr int requestsPerLoadCaller = 4'000;
constexpr int openStreams = 1'000;

/// Formats and writes log lines as the real process does, but to /dev/null.
void logToDevNull()
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m%n"));
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(std::make_shared<log4cxx::FileAppender>(layout, LOG4CXX_STR("/dev/null"), true));
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

std::string nonceFor(std::uint64_t seed, int caller, int request)
{
    std::string nonce(std::to_string(seed));
    return nonce.append("-").append(std::to_string(caller)).append("-").append(std::to_string(request));
}

double residentMegabytes()
{
    const std::optional<std::size_t> bytes = base::residentBytes();
    return bytes ? static_cast<double>(*bytes) / 1e6 : std::numeric_limits<double>::quiet_NaN();
}

double quantileOf(std::vector<double> &values, double probability)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

/// Sends @p count requests; appends their times in milliseconds to @p times and adds the wrong answers to @p wrong.
void timeRequests(blocking_caller &caller, std::uint64_t seed, int round, int count, std::vector<double> &times, int &wrong)
{
    for (int i = 0; i < count; ++i) {
        const std::string nonce = nonceFor(seed, round, i);
        const auto start = wall_clock::now();
        wrong += caller.sendChat(nonce) ? 0 : 1;
        times.push_back(std::chrono::duration<double, std::milli>(wall_clock::now() - start).count());
    }
}

/// Alternates direct and proxied requests in short rounds, so that other load on the machine affects both equally.
void measureLatency(std::uint16_t direct, std::uint16_t proxied, std::uint64_t seed, int &wrong, std::vector<figure> &figures)
{
    blocking_caller directCaller(direct);
    blocking_caller proxiedCaller(proxied);
    std::vector<double> directTimes;
    std::vector<double> proxiedTimes;
    for (int round = 0; round < latencyRounds; ++round) {
        timeRequests(directCaller, seed, round, requestsPerRound, directTimes, wrong);
        timeRequests(proxiedCaller, seed, round, requestsPerRound, proxiedTimes, wrong);
    }
    const double added = quantileOf(proxiedTimes, 0.5) - quantileOf(directTimes, 0.5);
    figures.push_back({"proxy: added latency p50", added, quantileOf(directTimes, 0.5), "ms (direct)", seed, "<= 0.2 ms", added <= 0.2});
    const double addedTail = quantileOf(proxiedTimes, 0.99) - quantileOf(directTimes, 0.99);
    figures.push_back({"proxy: added latency p99", addedTail, quantileOf(directTimes, 0.99), "ms (direct)", seed, "none", true});
}

void measureLoad(const proxy_thread &proxy, std::uint64_t seed, std::atomic<int> &wrong, std::vector<figure> &figures)
{
    const double processorBefore = proxy.processorSeconds();
    const auto start = wall_clock::now();
    std::vector<std::thread> callers;
    callers.reserve(loadCallers);
    for (int callerIndex = 0; callerIndex < loadCallers; ++callerIndex) {
        callers.emplace_back([&, callerIndex] {
            blocking_caller caller(proxy.port());
            for (int i = 0; i < requestsPerLoadCaller; ++i) {
                wrong += caller.sendChat(nonceFor(seed, callerIndex, i)) ? 0 : 1;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const double requests = loadCallers * requestsPerLoadCaller;
    const double wallSeconds = std::chrono::duration<double>(wall_clock::now() - start).count();
    const double perCore = requests / (proxy.processorSeconds() - processorBefore);
    figures.push_back({"proxy: small requests per core", perCore, noBaseline, "1/s of cpu", seed, ">= 15000", perCore >= 15'000});
    figures.push_back({"proxy: small requests, one thread", requests / wallSeconds, noBaseline, "1/s of wall", seed, "none", true});
}

/// Opens streams and returns the growth of the process's resident memory in MB.
double openAllStreams(std::uint16_t port, std::vector<std::unique_ptr<blocking_caller>> &callers, int &wrong)
{
    const double before = residentMegabytes();
    for (int i = 0; i < openStreams; ++i) {
        callers.push_back(std::make_unique<blocking_caller>(port));
        wrong += callers.back()->openStream() ? 0 : 1;
    }
    return residentMegabytes() - before;
}

void warmUp(std::uint16_t proxied, std::uint64_t seed, int &wrong)
{
    blocking_caller caller(proxied);
    for (int i = 0; i < requestsPerRound; ++i) {
        wrong += caller.sendChat(nonceFor(seed, -1, i)) ? 0 : 1;
    }
    for (int i = 0; i < requestsPerRound; ++i) {
        blocking_caller stream(proxied);
        wrong += stream.openStream() ? 0 : 1;
    }
}

/// Opens direct and then proxied streams and keeps all open; the difference in memory growth is the proxy's share.
void measureMemory(std::uint16_t direct, std::uint16_t proxied, std::uint64_t seed, int &wrong, std::vector<figure> &figures)
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    std::vector<std::unique_ptr<blocking_caller>> callers;
    callers.reserve(2 * openStreams);
    // Pages that the first requests make resident once, such as code, must not count as the cost of a stream.
    warmUp(proxied, seed, wrong);
    // Freed memory that is still resident would be reused and not show as growth.
    ::malloc_trim(0);
    const double directGrowth = openAllStreams(direct, callers, wrong);
    const double proxiedGrowth = openAllStreams(proxied, callers, wrong);
    figures.push_back({"proxy: memory per 1000 open streams", proxiedGrowth - directGrowth, directGrowth, "MB (direct)", seed, "none", true});
}

} // namespace

std::vector<figure> proxy_measurement::run(std::uint64_t seed)
{
    logToDevNull();
    std::vector<figure> figures;
    const echo_endpoint endpoint;
    const proxy_thread proxy(endpoint.port());
    int wrong = 0;
    std::atomic<int> wrongUnderLoad = 0;
    measureMemory(endpoint.port(), proxy.port(), seed, wrong, figures);
    measureLatency(endpoint.port(), proxy.port(), seed, wrong, figures);
    measureLoad(proxy, seed, wrongUnderLoad, figures);
    const double wrongAnswers = wrong + wrongUnderLoad;
    figures.push_back({"proxy: answers lost or mixed up", wrongAnswers, noBaseline, "answers", seed, "0", wrongAnswers == 0});
    return figures;
}

} // namespace chervilbend::measure
