#include "admission/latencyhistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace sassafrasvane
{

namespace
{

/// Binary logarithm of the number of buckets per octave.
constexpr int octaveBits = 3;
constexpr std::size_t bucketsPerOctave = std::size_t{1} << octaveBits;
/// Total count at which all counts are halved.
constexpr std::uint64_t samplesBeforeHalving = 16'384;

std::size_t bucketOf(std::uint64_t micros) noexcept
{
    if (micros < bucketsPerOctave) {
        return micros;
    }
    // The leading bit gives the octave, the three bits after it the bucket within the octave.
    const int octave = std::bit_width(micros) - 1 - octaveBits;
    return (static_cast<std::size_t>(octave) << octaveBits) + (micros >> octave);
}

/// First value above the bucket.
std::uint64_t bucketEnd(std::size_t bucket) noexcept
{
    if (bucket < bucketsPerOctave) {
        return bucket + 1;
    }
    const std::size_t octave = (bucket >> octaveBits) - 1;
    const std::uint64_t mantissa = bucketsPerOctave + (bucket & (bucketsPerOctave - 1));
    return (mantissa + 1) << octave;
}

} // namespace

void LatencyHistogram::add(Duration latency) noexcept
{
    const std::uint64_t micros = static_cast<std::uint64_t>(std::max<Duration::rep>(latency.count(), 0));
    ++buckets_[std::min(bucketOf(micros), bucketCount - 1)];
    ++count_;
    if (count_ >= samplesBeforeHalving) {
        halveCounts();
    }
}

Duration LatencyHistogram::quantile(double fraction) const noexcept
{
    if (count_ == 0) {
        return Duration{0};
    }
    const double wanted = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(count_);
    const std::uint64_t rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(wanted)));
    std::uint64_t seen = 0;
    std::size_t bucket = 0;
    while (bucket < bucketCount - 1 && seen + buckets_[bucket] < rank) {
        seen += buckets_[bucket];
        ++bucket;
    }
    return Duration(static_cast<Duration::rep>(bucketEnd(bucket) - 1));
}

void LatencyHistogram::clear() noexcept
{
    buckets_.fill(0);
    count_ = 0;
}

void LatencyHistogram::halveCounts() noexcept
{
    count_ = 0;
    for (std::uint32_t &bucket : buckets_) {
        bucket /= 2;
        count_ += bucket;
    }
}

} // namespace sassafrasvane
