#pragma once

#include <cstddef>
#include <deque>
#include <limits>
#include <vector>

namespace chervilbend::measure
{

/// Speed and size of a simulated engine.
struct engine_settings {
    /// Maximum number of streams in the batch; further requests wait in the engine's first-in, first-out queue.
    int slots = 32;
    /// Milliseconds per decoding step of a batch of one.
    double stepMs = 20;
    /// Fraction of stepMs that each further stream adds. With 32 streams a step takes twice as long, so throughput is 16 times that of one.
    double slope = 1.0 / 31;
    /// Prompt tokens that are prefilled per step.
    double promptTokensPerStep = 256;

    /// Tokens per millisecond with a full batch.
    double fullRate() const
    {
        return slots / (stepMs * (1 + slope * (slots - 1)));
    }
};

/// A state change of a stream.
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

/// An engine with continuous batching: each step generates one token for every stream of the batch, and takes longer for a larger batch.
class engine_model
{
public:
    explicit engine_model(const engine_settings &settings);

    /// Commands.

    /// Accepts a request at @p now.
    void submit(std::size_t job, int promptTokens, int tokens, double now, std::vector<engine_event> &events);
    /// Runs until @p now and appends the events that occurred.
    void advance(double now, std::vector<engine_event> &events);
    /// Makes each step @p factor times as long from @p now on.
    void setSlowness(double factor, double now, std::vector<engine_event> &events);
    /// Aborts all work and returns the lost jobs. The engine must get no requests until restart().
    std::vector<std::size_t> crash();
    void restart();

    /// Queries.

    /// Time of the next event; infinity if idle.
    double nextEvent() const;
    bool isUp() const
    {
        return m_up;
    }
    long incarnation() const
    {
        return m_incarnation;
    }
    std::size_t running() const
    {
        return m_batch.size();
    }
    std::size_t queued() const
    {
        return m_queue.size();
    }
    /// Total of the steps of all streams so far, in tokens.
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
    struct queued_request {
        std::size_t job = 0;
        int promptTokens = 0;
        int tokens = 0;
    };

    double stepsPerMs() const;
    void fillBatch(std::vector<engine_event> &events);

    engine_settings m_settings;
    std::vector<stream> m_batch;
    std::deque<queued_request> m_queue;
    double m_now = 0;
    /// Steps since the start.
    double m_steps = 0;
    double m_work = 0;
    double m_slowness = 1;
    long m_incarnation = 1;
    long m_version = 0;
    bool m_up = true;
};

} // namespace chervilbend::measure
