#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::fleet
{

/// Bounds the volume of the updates in a lease holder's answers, so that they leave room on its host's link for its own calls to the store and its
/// callers' requests: the answers to all nodes after a change of the holder would otherwise fill a thin link for seconds.
class answer_budget
{
public:
    /// @p linkMegabits is the rate of the host's link in Mbit/s; above 0.
    explicit answer_budget(double linkMegabits);

    /// Withdraws the volume of an answer that is sent. The budget may be overdrawn, so that a large answer is not held back for good.
    void take(std::size_t bytes);
    /// Whether an answer with updates may be sent now.
    bool hasRoom() const
    {
        return available() > 0;
    }

private:
    double available() const;

    double m_bytesPerMs;
    double m_available;
    base::time_point m_refilledAt;
};

} // namespace chervilbend::fleet
