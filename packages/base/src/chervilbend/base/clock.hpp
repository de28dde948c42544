#pragma once

#include <chrono>
#include <cstdint>

namespace chervilbend::base
{

class time_source;

using milliseconds = std::chrono::duration<std::int64_t, std::milli>;

/// The project's only clock: monotonic, in milliseconds, read from the installed time source.
///
/// Meets the requirements of a chrono clock, so that Asio timers can run on it.
class clock
{
public:
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;

    /// Monotonic time that includes the time in which the host is suspended, unlike now(). For time limits that other hosts observe as well, such
    /// as lease terms.
    static time_point bootNow() noexcept;

    /// The time by which timers are due. Differs from now() only while a simulation holds its timers back.
    static time_point timerNow() noexcept;

    /// Wall-clock time since 1970-01-01 UTC, for log lines, reports and idempotency keys only. May jump when the clock is set.
    static milliseconds wallNow() noexcept;

    /// Replaces the time source for the whole process; nullptr restores the system's clocks. The source must stay valid until it is replaced.
    static void install(const time_source *source) noexcept;
};

using time_point = clock::time_point;

} // namespace chervilbend::base
