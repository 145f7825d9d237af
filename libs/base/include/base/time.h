#pragma once

#include <chrono>
#include <cstdint>

/// \file
/// The clock of the system. Decision code takes the time as an argument and never reads a clock.

namespace sassafrasvane
{

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock that also counts while the machine or the process is suspended (CLOCK_BOOTTIME), so that knowledge
/// with an expiry ages during a pause.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    /// The present time.
    static time_point now() noexcept;
};

/// A moment on the BootClock; meaningful only within one machine.
using TimePoint = BootClock::time_point;

/// Microseconds since the Unix epoch. For log lines, spans and incarnations only, never for decisions.
std::uint64_t wallClockMicros() noexcept;

/// \return \p duration in milliseconds with its fraction.
constexpr double toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// \return the duration of \p milliseconds, which may have a fraction.
constexpr Duration fromMilliseconds(double milliseconds) noexcept
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

/// \return \p share of \p duration.
constexpr Duration shareOf(Duration duration, double share) noexcept
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

} // namespace sassafrasvane
