#include "observe/logthrottle.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

std::size_t codeIndex(std::optional<Errc> code) noexcept
{
    return code ? static_cast<std::size_t>(*code) : 0;
}

} // namespace

LogThrottle::LogThrottle() noexcept = default;

bool LogThrottle::admit(TimePoint now, Step step, std::optional<Errc> code) noexcept
{
    Bucket &bucket = buckets_[static_cast<std::size_t>(step) * codeCount + codeIndex(code)];
    if (now > bucket.refilledAt) {
        const double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
        bucket.tokens = std::min(burst, bucket.tokens + seconds * linesPerSecond);
        bucket.refilledAt = now;
    }
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return true;
    }
    ++bucket.suppressed;
    if (!firstSuppressedAt_) {
        firstSuppressedAt_ = now;
    }
    return false;
}

std::vector<SuppressedLines> LogThrottle::takeSummary(TimePoint now, bool isForced)
{
    std::vector<SuppressedLines> summary;
    if (!firstSuppressedAt_ || (!isForced && now - *firstSuppressedAt_ < summaryPeriod)) {
        return summary;
    }
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        if (buckets_[i].suppressed == 0) {
            continue;
        }
        SuppressedLines lines;
        lines.step = static_cast<Step>(i / codeCount);
        if (i % codeCount != 0) {
            lines.code = static_cast<Errc>(i % codeCount);
        }
        lines.count = buckets_[i].suppressed;
        buckets_[i].suppressed = 0;
        summary.push_back(lines);
    }
    firstSuppressedAt_.reset();
    return summary;
}

} // namespace sassafrasvane
