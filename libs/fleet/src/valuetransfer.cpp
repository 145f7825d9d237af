#include "valuetransfer.h"

#include "fleet/valuedelta.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Sources remembered.
constexpr std::size_t maxSources = 8;

/// Requests without any answer before a source is given up.
constexpr unsigned maxStalls = 5;

/// Chunks of a body of \p bytes; an empty one is one chunk.
std::size_t chunksOf(std::size_t bytes) noexcept
{
    return std::max<std::size_t>(1, (bytes + maxChunkBytes - 1) / maxChunkBytes);
}

} // namespace

bool ValueTransfer::want(ConfigVersion version, DaemonId peer)
{
    if (version < wanted_) {
        return false;
    }
    const bool isHigher = version > wanted_;
    if (isHigher) {
        wanted_ = version;
        sources_.clear();
        stalls_ = 0;
    }
    if (sources_.size() < maxSources && !isSource(peer)) {
        sources_.push_back(peer);
    }
    return isHigher;
}

void ValueTransfer::reset()
{
    *this = ValueTransfer(limits_);
}

void ValueTransfer::restart(bool wholeOnly)
{
    body_.reset();
    rangeEnd_ = 0;
    isWholeOnly_ = wholeOnly;
}

void ValueTransfer::dropSource()
{
    std::erase(sources_, asked_);
    stalls_ = 0;
    if (sources_.empty()) {
        reset();
    }
}

bool ValueTransfer::isSource(DaemonId peer) const noexcept
{
    return std::find(sources_.begin(), sources_.end(), peer) != sources_.end();
}

std::size_t ValueTransfer::firstMissing() const noexcept
{
    if (!body_) {
        return 0;
    }
    const auto missing = std::find(body_->have.begin(), body_->have.end(), false);
    return static_cast<std::size_t>(missing - body_->have.begin());
}

DaemonId ValueTransfer::request(TimePoint now, Random &random, ConfigMessage &fetch)
{
    const std::size_t first = firstMissing();
    asked_ = sources_[random.below(sources_.size())];
    rangeEnd_ = first + limits_.window;
    progressAt_ = now;
    fetch.kind = ConfigKind::Fetch;
    fetch.version = wanted_;
    fetch.offset = static_cast<std::uint32_t>(first * maxChunkBytes);
    fetch.count = limits_.window;
    if (isWholeOnly_) {
        fetch.base = {};
    }
    return asked_;
}

bool ValueTransfer::take(TimePoint now, const ConfigMessage &chunk)
{
    const std::size_t chunks = chunksOf(chunk.total);
    const std::size_t index = chunk.offset / maxChunkBytes;
    const std::size_t expected
        = std::min<std::size_t>(maxChunkBytes, chunk.total - std::min(chunk.offset, chunk.total));
    if (chunk.total > maxValueBytes || chunk.offset % maxChunkBytes != 0 || index >= chunks
        || chunk.bytes.size() != expected) {
        return false;
    }
    const bool isSame = body_ && body_->version == chunk.version && body_->base == chunk.base
        && body_->digest == chunk.digest && body_->bytes.size() == chunk.total;
    if (!isSame && body_ && chunk.version < body_->version) {
        return true;
    }
    if (!isSame) {
        body_ = Body{chunk.version, chunk.base, chunk.digest, std::string(chunk.total, '\0'), {}, chunks};
        body_->have.assign(chunks, false);
    }
    progressAt_ = now;
    stalls_ = 0;
    if (!body_->have[index]) {
        body_->have[index] = true;
        --body_->missing;
        std::copy(chunk.bytes.begin(), chunk.bytes.end(), body_->bytes.begin() + chunk.offset);
    }
    return true;
}

bool ValueTransfer::isRangeDone() const noexcept
{
    return firstMissing() >= rangeEnd_;
}

bool ValueTransfer::stall() noexcept
{
    return ++stalls_ < maxStalls;
}

} // namespace sassafrasvane::detail
