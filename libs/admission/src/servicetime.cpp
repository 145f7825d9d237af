#include "admission/servicetime.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Weights of a sample in the short and in the long moving average.
constexpr double shortWeight = 1.0 / 8;
constexpr double longWeight = 1.0 / 64;
/// A sample counts for at most this multiple of the long average.
constexpr double clipFactor = 8;
/// Ratio of the short average to the long one above which a server has suddenly become slower. From a steady latency,
/// eleven clipped samples in a row exceed it.
constexpr double suddenSlowdownFactor = 4;
/// Number of mean deviations between the mean and upperBound(): 19 of 20 exponentially distributed latencies are below.
constexpr double boundDeviations = 3;
/// Number of samples before a sudden slowdown can be detected.
constexpr std::uint32_t minSamples = 64;
/// Number of samples before the long average counts for the floor. The average of a few samples can be far below the
/// true mean by chance, and a floor that is too low makes every later latency look long.
constexpr std::uint32_t minFloorSamples = 32;
/// Length of each of the two time windows of the floors.
constexpr Duration windowLength = 30s;

double minNonZero(double left, double right) noexcept
{
    if (left == 0 || right == 0) {
        return std::max(left, right);
    }
    return std::min(left, right);
}

Duration toDuration(double micros) noexcept
{
    return Duration(static_cast<Duration::rep>(micros));
}

} // namespace

bool ServiceTime::add(TimePoint now, Duration latency) noexcept
{
    const double micros = std::max(1.0, static_cast<double>(latency.count()));
    ++samples_;
    if (samples_ == 1) {
        shortMean_ = micros;
        longMean_ = micros;
    } else {
        const double clipped = std::min(micros, clipFactor * longMean_);
        // A plain average until there are enough samples for the moving one, so that the first sample does not weigh
        // too much.
        const double weight = std::max(longWeight, 1.0 / samples_);
        shortMean_ += std::max(shortWeight, 1.0 / samples_) * (clipped - shortMean_);
        longMean_ += weight * (clipped - longMean_);
        deviation_ += weight * (std::abs(clipped - longMean_) - deviation_);
    }
    if (samples_ >= minSamples && shortMean_ > suddenSlowdownFactor * longMean_) {
        reset();
        return true;
    }
    rotate(now);
    if (samples_ >= minFloorSamples) {
        current_.mean = minNonZero(current_.mean, longMean_);
    }
    current_.sample = minNonZero(current_.sample, micros);
    return false;
}

Duration ServiceTime::upperBound() const noexcept
{
    return toDuration(longMean_ + boundDeviations * deviation_);
}

Duration ServiceTime::meanFloor(TimePoint now) const noexcept
{
    return isStale(now) ? Duration{0} : toDuration(minNonZero(current_.mean, previous_.mean));
}

Duration ServiceTime::minLatency(TimePoint now) const noexcept
{
    return isStale(now) ? Duration{0} : toDuration(minNonZero(current_.sample, previous_.sample));
}

void ServiceTime::rotate(TimePoint now) noexcept
{
    if (now - windowStart_ < windowLength) {
        return;
    }
    previous_ = isStale(now) ? Minima() : current_;
    current_ = Minima();
    windowStart_ = now;
}

bool ServiceTime::isStale(TimePoint now) const noexcept
{
    return now - windowStart_ >= 2 * windowLength;
}

} // namespace sassafrasvane
