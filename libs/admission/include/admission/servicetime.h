#pragma once

#include "base/time.h"

#include <cstdint>

/// \file
/// Latency statistics of a server, from this process's own calls.

namespace sassafrasvane
{

/// Moving averages and recent minima (floors) of the latencies of one server.
///
/// Each sample is clipped at a multiple of the long average, to limit the effect of one straggler on the averages.
///
/// \code
/// ServiceTime service;
/// const bool isSudden = service.add(now, latency);
/// const Duration typical = service.mean();
/// \endcode
class ServiceTime
{
public:
    /// Adds a sample. \return true if the server has suddenly become several times slower; the averages and floors are
    /// then reset, so that the slowdown is reported once.
    bool add(TimePoint now, Duration latency) noexcept;

    /// The short moving average; 0 before the first sample.
    Duration mean() const noexcept { return Duration(static_cast<Duration::rep>(shortMean_)); }

    /// The long moving average, stable enough to be compared with meanFloor(); 0 before the first sample.
    Duration steadyMean() const noexcept { return Duration(static_cast<Duration::rep>(longMean_)); }

    /// Estimate of the latency that about 19 of 20 calls stay below, from the mean deviation (Jacobson, "Congestion
    /// avoidance and control", 1988); 0 before the first sample.
    Duration upperBound() const noexcept;

    /// The min of the long average within about a minute; 0 before there are enough samples.
    Duration meanFloor(TimePoint now) const noexcept;

    /// The min single latency within about a minute; 0 if there is none.
    Duration minLatency(TimePoint now) const noexcept;

    /// Discards all samples.
    void reset() noexcept { *this = ServiceTime(); }

private:
    /// Minima within one time window, in microseconds; 0 if there are none.
    struct Minima {
        double mean = 0;
        double sample = 0;
    };

    void rotate(TimePoint now) noexcept;
    bool isStale(TimePoint now) const noexcept;

    double shortMean_ = 0;
    double longMean_ = 0;
    /// Moving average of the absolute deviation from the long average.
    double deviation_ = 0;
    std::uint32_t samples_ = 0;
    TimePoint windowStart_;
    Minima current_;
    Minima previous_;
};

} // namespace sassafrasvane
