#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/external/engine_command.hpp>

#include <functional>
#include <map>

namespace chervilbend::control
{

/// Tracks the load commands sent by this node that may still be delivered to their engines.
class load_command_tracker
{
public:
    /// An answered command may be delivered again within this time, as a network duplicate.
    static constexpr base::milliseconds answeredLifetime{30'000};
    /// An unanswered command may be delivered within this time. The design accepts that later deliveries are not covered.
    static constexpr base::milliseconds unansweredLifetime{600'000};

    /// Commands.

    /// Records that a load command is about to be sent.
    void recordSending(const base::endpoint_id &endpoint, const base::item_id &item);
    void recordResult(const base::endpoint_id &endpoint, const base::item_id &item, external::command_status status);
    /// Records that the engine's report, valid for @p reportTime, contains the item. If exactly one command was sent before that time, it has been
    /// delivered; with several commands, one of them may still be in transit.
    void recordReported(const base::endpoint_id &endpoint, const base::item_id &item, base::time_point reportTime);
    /// Forgets all commands sent to the engine, because it now rejects them by their fencing token.
    void clear(const base::endpoint_id &endpoint);

    /// Queries.

    /// Whether a load of the item may still arrive.
    bool mayArrive(const base::endpoint_id &endpoint, const base::item_id &item) const;
    /// Whether a load of the item got no answer and may still arrive.
    bool isUnanswered(const base::endpoint_id &endpoint, const base::item_id &item) const;
    /// Whether any load command may still be delivered to an endpoint for which @p appliesTo returns true.
    bool hasOutstanding(const std::function<bool(const base::endpoint_id &)> &appliesTo) const;

private:
    struct load {
        base::time_point sentAt;
        /// Time after which no duplicate of an answered command can be delivered.
        base::time_point answeredUntil = base::time_point::min();
        /// Time after which no unanswered command can be delivered, and its value before the command in flight was sent.
        base::time_point unansweredUntil = base::time_point::min();
        base::time_point unansweredBefore = base::time_point::min();
        int unanswered = 0;
    };

    const load *find(const base::endpoint_id &endpoint, const base::item_id &item) const;

    std::map<base::endpoint_id, std::map<base::item_id, load>> m_loads;
};

} // namespace chervilbend::control
