#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/external/engine_command.hpp>

#include <functional>
#include <map>

namespace chervilbend::control
{

/// Load commands of this node that may still arrive at their engines.
class load_command_tracker
{
public:
    /// An answered command may arrive once more within this time, by a repetition on the way.
    static constexpr base::milliseconds answeredLife{30'000};
    /// A command without an answer may arrive within this time; the design accepts that a later one is not covered.
    static constexpr base::milliseconds unansweredLife{600'000};

    /// Commands.

    /// A load is about to be sent.
    void sending(const base::endpoint_id &endpoint, const base::item_id &item);
    void sent(const base::endpoint_id &endpoint, const base::item_id &item, external::command_status status);
    /// The engine's report shows the item as it was at @p moment. A single command sent before has arrived; of several, one may not have.
    void seen(const base::endpoint_id &endpoint, const base::item_id &item, base::time_point moment);
    /// The engine refuses all commands sent so far.
    void clear(const base::endpoint_id &endpoint);

    /// Queries.

    /// Whether a load of the item may still arrive.
    bool mayArrive(const base::endpoint_id &endpoint, const base::item_id &item) const;
    /// Whether a load of the item got no answer and may still arrive.
    bool isUnanswered(const base::endpoint_id &endpoint, const base::item_id &item) const;
    /// Whether any load may still arrive at an endpoint for which @p concerns holds.
    bool hasOutstanding(const std::function<bool(const base::endpoint_id &)> &concerns) const;

private:
    struct load {
        base::time_point sentAt;
        /// When the last answered command can no longer be repeated.
        base::time_point answeredUntil = base::time_point::min();
        /// When the last command without an answer can no longer arrive; with the value before the one under way.
        base::time_point unansweredUntil = base::time_point::min();
        base::time_point unansweredBefore = base::time_point::min();
        int unanswered = 0;
    };

    const load *find(const base::endpoint_id &endpoint, const base::item_id &item) const;

    std::map<base::endpoint_id, std::map<base::item_id, load>> m_loads;
};

} // namespace chervilbend::control
