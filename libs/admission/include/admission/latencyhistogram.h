#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

/// \file
/// Quantiles of a stream of latencies.

namespace sassafrasvane
{

/// A histogram with logarithmic buckets in which old samples lose weight.
///
/// Each octave has eight buckets, so a quantile is off by at most 9%. After a fixed number of samples all counts are
/// halved, so that the histogram follows a change within about that many samples.
///
/// \code
/// LatencyHistogram calls;
/// calls.add(latency);
/// const Duration hedgeDelay = calls.quantile(0.95);
/// \endcode
class LatencyHistogram
{
public:
    /// Adds a latency. Values outside of 1 us to about 70 min count in the first or last bucket.
    void add(Duration latency) noexcept;

    /// The latency that \p fraction of the samples, in [0, 1], do not exceed; 0 if there are no samples.
    Duration quantile(double fraction) const noexcept;

    /// Sum of the counts, after halving.
    std::uint64_t count() const noexcept { return count_; }

    /// Removes all samples.
    void clear() noexcept;

private:
    static constexpr std::size_t bucketCount = 256;

    void halveCounts() noexcept;

    std::array<std::uint32_t, bucketCount> buckets_{};
    std::uint64_t count_ = 0;
};

} // namespace sassafrasvane
