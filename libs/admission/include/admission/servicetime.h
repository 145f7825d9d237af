#pragma once

#include "base/time.h"

#include <cstdint>

/// \file
/// How long a server takes, as our own calls saw it.

namespace sassafrasvane
{

/// Moving averages and floors of the latencies of one server.
///
/// Each sample is clipped at a multiple of the long average, so that one straggler moves the averages only a little.
///
/// \code
/// ServiceTime service;
/// const bool isSudden = service.add(now, latency);
/// const Duration typical = service.mean();
/// \endcode
class ServiceTime
{
public:
    /// Notes a latency. \return true if the server has suddenly become several times slower; the averages and floors
    /// then start anew, so that it is told once.
    bool add(TimePoint now, Duration latency) noexcept;

    /// The short moving average; 0 before the first sample.
    Duration mean() const noexcept { return Duration(static_cast<Duration::rep>(shortMean_)); }

    /// The long moving average, steady enough to be compared with its floor; 0 before the first sample.
    Duration steadyMean() const noexcept { return Duration(static_cast<Duration::rep>(longMean_)); }

    /// A latency that about 19 of 20 calls stay below, by the mean deviation (Jacobson, "Congestion avoidance and
    /// control", 1988); 0 before the first sample.
    Duration upperBound() const noexcept;

    /// The least long average within about a minute; 0 before there are enough samples.
    Duration meanFloor(TimePoint now) const noexcept;

    /// The least single latency within about a minute; 0 if there is none.
    Duration minLatency(TimePoint now) const noexcept;

    /// Forgets everything.
    void reset() noexcept { *this = ServiceTime(); }

private:
    /// Least values within one window of time.
    struct Minima {
        double mean = 0;
        double sample = 0;
    };

    void rotate(TimePoint now) noexcept;
    bool isStale(TimePoint now) const noexcept;

    double shortMean_ = 0;
    double longMean_ = 0;
    /// Moving average of the distance from the long average.
    double deviation_ = 0;
    std::uint32_t samples_ = 0;
    TimePoint windowStart_;
    Minima current_;
    Minima previous_;
};

} // namespace sassafrasvane
