#pragma once

#include <cstddef>
#include <deque>
#include <limits>
#include <vector>

namespace chervilbend::measure
{

/// Speed and size of a simulated engine.
struct engine_settings {
    /// Streams in the batch at most; further requests wait in the engine, first come, first served.
    int slots = 32;
    /// Milliseconds per decoding step of a batch of one.
    double stepMs = 20;
    /// Part of stepMs that each further stream adds: at 32 slots a step takes twice as long, for 16 times the tokens.
    double slope = 1.0 / 31;
    /// Prompt tokens that one step prefills.
    double promptTokensPerStep = 256;

    /// Tokens per millisecond with a full batch.
    double fullRate() const
    {
        return slots / (stepMs * (1 + slope * (slots - 1)));
    }
};

/// What happened to a stream.
struct engine_event {
    enum class kind {
        started,
        firstByte,
        progress,
        ended,
    };

    kind what = kind::progress;
    std::size_t job = 0;
    int generated = 0;
};

/// An engine with continuous batching: every stream of the batch gets a token per step, and a step takes longer in a larger batch.
class engine_model
{
public:
    explicit engine_model(const engine_settings &settings);

    /// Commands.

    /// Takes a request at @p now.
    void submit(std::size_t job, int promptTokens, int tokens, double now, std::vector<engine_event> &events);
    /// Runs until @p now and gives what happened then.
    void advance(double now, std::vector<engine_event> &events);
    /// Makes steps @p factor times as long from @p now on.
    void setSlowness(double factor, double now, std::vector<engine_event> &events);
    /// Ends all work and gives the jobs that were lost. The engine takes no requests until restart().
    std::vector<std::size_t> crash();
    void restart();

    /// Queries.

    /// Time of the next event; infinity when idle.
    double nextEvent() const;
    bool isUp() const
    {
        return m_up;
    }
    long life() const
    {
        return m_life;
    }
    std::size_t running() const
    {
        return m_batch.size();
    }
    std::size_t queued() const
    {
        return m_queue.size();
    }
    /// Steps of streams done so far, in tokens.
    double work() const
    {
        return m_work;
    }
    /// Changes whenever nextEvent() may have changed.
    long version() const
    {
        return m_version;
    }

private:
    struct stream {
        std::size_t job = 0;
        double firstByteAt = 0;
        double endAt = 0;
        double nextAt = 0;
    };
    struct waiting {
        std::size_t job = 0;
        int promptTokens = 0;
        int tokens = 0;
    };

    double stepsPerMs() const;
    void fill(std::vector<engine_event> &events);

    engine_settings m_settings;
    std::vector<stream> m_batch;
    std::deque<waiting> m_queue;
    double m_now = 0;
    /// Steps since the start.
    double m_steps = 0;
    double m_work = 0;
    double m_slowness = 1;
    long m_life = 1;
    long m_version = 0;
    bool m_up = true;
};

} // namespace chervilbend::measure
