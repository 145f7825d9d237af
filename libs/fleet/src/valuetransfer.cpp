#include "valuetransfer.h"

#include "fleet/valuedelta.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Maximum number of peers remembered as sources.
constexpr std::size_t maxSources = 8;

/// Consecutive requests without any chunk after which a source is dropped.
constexpr unsigned maxStalls = 5;

/// \return the number of chunks of a body of \p bytes; an empty body is one chunk.
std::size_t chunkCount(std::size_t bytes) noexcept
{
    return std::max<std::size_t>(1, (bytes + maxChunkBytes - 1) / maxChunkBytes);
}

} // namespace

bool ValueTransfer::addSource(ConfigVersion version, DaemonId peer)
{
    if (version < targetVersion_) {
        return false;
    }
    const bool isHigher = version > targetVersion_;
    if (isHigher) {
        targetVersion_ = version;
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

void ValueTransfer::restart(bool fullTextOnly)
{
    body_.reset();
    rangeEnd_ = 0;
    isFullTextOnly_ = fullTextOnly;
}

void ValueTransfer::dropSource()
{
    std::erase(sources_, currentSource_);
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
    const auto missing = std::find(body_->received.begin(), body_->received.end(), false);
    return static_cast<std::size_t>(missing - body_->received.begin());
}

DaemonId ValueTransfer::request(TimePoint now, Random &random, ConfigMessage &fetch)
{
    const std::size_t first = firstMissing();
    currentSource_ = sources_[random.below(sources_.size())];
    rangeEnd_ = first + limits_.chunkWindow;
    progressAt_ = now;
    fetch.kind = ConfigKind::Fetch;
    fetch.version = targetVersion_;
    fetch.offset = static_cast<std::uint32_t>(first * maxChunkBytes);
    fetch.count = limits_.chunkWindow;
    if (isFullTextOnly_) {
        fetch.base = {};
    }
    return currentSource_;
}

bool ValueTransfer::addChunk(TimePoint now, const ConfigMessage &chunk)
{
    const std::size_t chunks = chunkCount(chunk.total);
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
        body_->received.assign(chunks, false);
    }
    progressAt_ = now;
    stalls_ = 0;
    if (!body_->received[index]) {
        body_->received[index] = true;
        --body_->missing;
        std::copy(chunk.bytes.begin(), chunk.bytes.end(), body_->bytes.begin() + chunk.offset);
    }
    return true;
}

bool ValueTransfer::isRangeDone() const noexcept
{
    return firstMissing() >= rangeEnd_;
}

bool ValueTransfer::recordStall() noexcept
{
    return ++stalls_ < maxStalls;
}

} // namespace sassafrasvane::detail
