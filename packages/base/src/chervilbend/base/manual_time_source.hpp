#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/time_source.hpp>

namespace chervilbend::base
{

/// A time source for tests whose time changes only when it is advanced. Installs itself for its lifetime.
class manual_time_source : public time_source
{
public:
    manual_time_source()
    {
        clock::install(this);
    }

    ~manual_time_source() override
    {
        clock::install(nullptr);
    }

    manual_time_source(const manual_time_source &) = delete;
    manual_time_source &operator=(const manual_time_source &) = delete;

    void advance(milliseconds step)
    {
        m_elapsed += step;
    }

    /// Simulates a suspension of the host for @p duration: only the boot clock and the wall clock advance.
    void suspend(milliseconds duration)
    {
        m_suspended += duration;
    }

    /// While held, no timer is due, whatever its expiry. Asio checks its timers when the kernel's timer fires, which happens in real time: a simulation
    /// holds them while it runs other handlers, so that its order does not depend on the machine's speed.
    void setTimersHeld(bool held)
    {
        m_timersHeld = held;
    }

    std::int64_t timerMilliseconds() const override
    {
        return m_timersHeld ? beforeAnyExpiry.count() : steadyMilliseconds();
    }

    std::int64_t bootMilliseconds() const override
    {
        return (m_elapsed + m_suspended).count();
    }

    std::int64_t steadyMilliseconds() const override
    {
        return m_elapsed.count();
    }

    std::int64_t wallMilliseconds() const override
    {
        return (initialWallTime + m_elapsed + m_suspended).count();
    }

private:
    /// 2026-01-01 00:00 UTC.
    static constexpr milliseconds initialWallTime{1'767'225'600'000};

    /// Timers expire at or after the start of the clock.
    static constexpr milliseconds beforeAnyExpiry{-1};

    milliseconds m_elapsed{1};
    milliseconds m_suspended{0};
    bool m_timersHeld = false;
};

} // namespace chervilbend::base
