#pragma once

#include "base/error.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// Rate limit of repeated log lines.

namespace sassafrasvane
{

/// How many lines of one kind were suppressed.
struct SuppressedLines {
    Step step = Step::Accept;
    /// The error code of the lines; nothing for lines without one.
    std::optional<Errc> code;
    std::uint64_t count = 0;
};

/// A token bucket for each step and error code.
///
/// \code
/// LogThrottle throttle;
/// if (throttle.admit(now, Step::Connect, Errc::ConnectFailed)) { ... }
/// \endcode
class LogThrottle
{
public:
    /// Lines of one kind that may be written at once.
    static constexpr double burst = 20;
    /// Lines of one kind that may be written in a second, in the long run.
    static constexpr double linesPerSecond = 2;
    /// Least time between two summaries.
    static constexpr Duration summaryPeriod = std::chrono::seconds(10);

    LogThrottle() noexcept;

    /// \return true if a line may be written; false if it was counted as suppressed.
    bool admit(TimePoint now, Step step, std::optional<Errc> code) noexcept;

    /// The lines suppressed since the last summary, at most once a period.
    /// \param isForced true to disregard the period. \return empty if there is nothing to tell yet.
    std::vector<SuppressedLines> takeSummary(TimePoint now, bool isForced);

private:
    static constexpr std::size_t stepCount = static_cast<std::size_t>(Step::Stop) + 1;
    /// Position 0 is for lines without a code.
    static constexpr std::size_t codeCount = static_cast<std::size_t>(Errc::Internal) + 1;

    struct Bucket {
        double tokens = burst;
        TimePoint refilledAt;
        std::uint64_t suppressed = 0;
    };

    std::array<Bucket, stepCount * codeCount> buckets_;
    std::optional<TimePoint> firstSuppressedAt_;
};

} // namespace sassafrasvane
