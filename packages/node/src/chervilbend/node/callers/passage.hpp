#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/node/callers/admitted_request.hpp>
#include <chervilbend/node/callers/event_scanner.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/routing/request_outcome.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace chervilbend::net
{
class http_exchange;
}

namespace chervilbend::node
{

class caller_metrics;

/// One request on its way through the forwarder: keeps the traffic director and the metrics informed, also when its coroutine is cancelled.
class passage
{
public:
    passage(admission &gate, caller_metrics &metrics, std::shared_ptr<net::http_exchange> caller, forwarding_plan how);
    ~passage();
    passage(const passage &) = delete;
    passage &operator=(const passage &) = delete;

    void startAttempt();
    /// Has an effect once per attempt.
    void firstByte();
    /// A part of a stream has come; the time since the part before it is a gap.
    void notePiece();
    /// So many tokens of this attempt so far.
    void progress(base::token_count generated);
    /// Has an effect once.
    void finish(routing::request_outcome outcome);

    const std::shared_ptr<net::http_exchange> exchange;
    const forwarding_plan plan;
    admitted_request work;
    bool hasFirstByte() const
    {
        return m_hasFirstByte;
    }

    /// From the request's arrival to the first byte of its answer, over all attempts; no value while there is none.
    std::optional<base::milliseconds> firstByteAfter() const
    {
        return m_firstByteAfter;
    }

    /// The longest time between two parts of the stream, over all attempts.
    base::milliseconds longestGap() const
    {
        return m_longestGap;
    }

    /// The endpoint of the stream that is passed on.
    base::endpoint_id endpoint;
    /// Follows the stream over all attempts.
    event_scanner events;

private:
    void restartEvents();

    caller_metrics &m_metrics;
    base::time_point m_since = base::clock::now();
    std::int64_t m_tokens = 0;
    bool m_hasFirstByte = false;
    std::optional<base::milliseconds> m_firstByteAfter;
    std::optional<base::time_point> m_lastPiece;
    base::milliseconds m_longestGap{0};
    bool m_finished = false;
};

} // namespace chervilbend::node
