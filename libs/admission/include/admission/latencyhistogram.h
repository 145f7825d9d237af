#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

/// \file
/// Quantiles of a stream of latencies.

namespace sassafrasvane
{

/// A histogram with logarithmic buckets whose old samples fade.
///
/// A bucket is an eighth of an octave wide, so a quantile is off by at most 9%. When the histogram has taken its fill
/// of samples, all counts are halved, so that it follows a change within about that many samples.
///
/// \code
/// LatencyHistogram calls;
/// calls.add(latency);
/// const Duration hedgeDelay = calls.quantile(0.95);
/// \endcode
class LatencyHistogram
{
public:
    /// Notes a latency. Those outside of 1 us to about 70 min count at the ends.
    void add(Duration latency) noexcept;

    /// The latency that \p fraction of the samples, in [0, 1], do not exceed; 0 if there is none.
    Duration quantile(double fraction) const noexcept;

    /// Weight of the samples that are held.
    std::uint64_t count() const noexcept { return count_; }

    /// Forgets everything.
    void clear() noexcept;

private:
    static constexpr std::size_t bucketCount = 256;

    void halveCounts() noexcept;

    std::array<std::uint32_t, bucketCount> buckets_{};
    std::uint64_t count_ = 0;
};

} // namespace sassafrasvane
