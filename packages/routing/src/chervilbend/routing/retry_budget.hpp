#pragma once

#include <chervilbend/base/clock.hpp>

#include <array>
#include <cstddef>

namespace chervilbend::routing
{

/// Limits retries to a share of the requests and a burst beyond it, so that retries cannot amplify an overload.
///
/// Without a window it is a token bucket: the burst is the number of retries that are allowed at once after a period without retries. With a window, the
/// limit applies to the span of that length before each retry, and retries that a calm part of it did not need are available when an endpoint fails.
class retry_budget
{
public:
    /// @p share is the maximum ratio of retries to requests, 0 to 1.
    retry_budget(double share, double burst, base::milliseconds window = base::milliseconds(0));

    void setBurst(double burst);
    /// Counts a new request.
    void deposit();
    bool isExhausted() const;
    /// Takes one retry. Returns false if none is left.
    bool tryWithdraw();

private:
    struct counts {
        double requests = 0;
        double retries = 0;
    };

    static constexpr std::size_t slotCount = 20;

    /// Drops the slots that have left the window.
    void advance();
    /// Number of slots that have begun since the last call of advance().
    std::size_t slotsPassed() const;
    /// Retries that may be made now.
    double available() const;

    double m_share;
    double m_burst;
    double m_tokens;
    base::milliseconds m_window;
    base::milliseconds m_slotLength;
    std::array<counts, slotCount> m_slots{};
    base::time_point m_slotStart;
    std::size_t m_current = 0;
};

} // namespace chervilbend::routing
