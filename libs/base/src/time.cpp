#include "base/time.h"

#include <ctime>

namespace sassafrasvane
{

BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const std::chrono::nanoseconds sinceBoot
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(std::chrono::duration_cast<Duration>(sinceBoot));
}

std::uint64_t wallClockMicros() noexcept
{
    const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(sinceEpoch).count());
}

} // namespace sassafrasvane
