#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/measure/sim/cluster_settings.hpp>
#include <chervilbend/measure/sim/gossip_model.hpp>
#include <chervilbend/measure/sim/job.hpp>

#include <cstddef>
#include <cstdint>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace chervilbend::measure
{

/// A discrete-event simulation in virtual time of several nodes, each with its own traffic director, that share a set of engines.
class cluster_simulation
{
public:
    cluster_simulation(const cluster_settings &settings, std::vector<job> jobs);
    ~cluster_simulation();

    void run();

    const std::vector<job> &jobs() const
    {
        return m_jobs;
    }
    /// Cumulative work of all engines at the end of each second, in tokens.
    const std::vector<double> &workBySecond() const
    {
        return m_work;
    }
    int crashes() const
    {
        return m_crashes;
    }

private:
    enum class event_kind {
        arrival,
        engineAdvance,
        engineArrival,
        poll,
        report,
        wakeup,
        probe,
        gossip,
        slowDown,
        poison,
        restart,
        sample,
    };
    struct event {
        double when;
        std::uint64_t sequence;
        event_kind what;
        std::size_t subject;
        std::size_t object;
        long version;

        bool operator>(const event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };
    struct node_state {
        std::unique_ptr<routing::traffic_director> director;
        std::unordered_map<routing::request_handle, std::size_t> jobs;
        double wakeup = -1;
    };
    struct attempt {
        routing::request_handle request = 0;
        std::size_t engine = 0;
    };

    void schedule(double when, event_kind what, std::size_t subject, std::size_t object = 0, long version = 0);
    void handle(const event &due);
    void setClock(double now);
    void submit(std::size_t index);
    void applyDecisions(std::size_t node);
    void arriveAtEngine(std::size_t engine, std::size_t index);
    void runEngine(std::size_t engine);
    void report(std::size_t engine, const std::vector<engine_event> &events);
    void fail(std::size_t index, routing::request_outcome outcome);
    void markFailed(std::size_t index, bool asSuspect);
    void poll(std::size_t node, std::size_t engine);
    void crash(std::size_t engine);
    void gossipSuspicions(std::size_t node);
    double oneWayDelayMs(std::size_t node, std::size_t engine) const;

    base::manual_time_source m_clock;
    cluster_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<job> m_jobs;
    std::vector<attempt> m_attempts;
    std::vector<engine_model> m_engines;
    std::vector<node_state> m_nodes;
    gossip_model m_gossip;
    std::vector<routing::load_report> m_reports;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<double> m_work;
    std::uint64_t m_sequence = 0;
    double m_now = 0;
    int m_crashes = 0;
    int m_poisonSent = 0;
};

} // namespace chervilbend::measure
