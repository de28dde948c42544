#pragma once

#include <chervilbend/base/error_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// Events seen by the callers and by the order service, in chronological order.
class order_history
{
public:
    enum class event_kind {
        /// A caller sent an attempt.
        started,
        /// The caller received the answer to an attempt.
        answered,
        /// The order service executed the order on behalf of an attempt.
        ran,
    };

    struct event {
        event_kind kind;
        std::string key;
        /// Number of the attempt for this key, from 1.
        int attempt = 0;
        /// Set for answers only.
        base::run_state state = base::run_state::unknown;

        friend bool operator==(const event &, const event &) = default;
    };

    void addStarted(const std::string &key, int attempt);
    void addAnswered(const std::string &key, int attempt, base::run_state state);
    void addRan(const std::string &key, int attempt);

    const std::vector<event> &events() const;

private:
    std::vector<event> m_events;
};

} // namespace chervilbend::measure
