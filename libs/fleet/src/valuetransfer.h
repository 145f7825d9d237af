#pragma once

#include "base/random.h"
#include "fleet/configdistributor.h"

#include <optional>
#include <string>
#include <vector>

/// \file
/// Transfer of one version of one key from peers, chunk by chunk.

namespace sassafrasvane::detail
{

/// State of one transfer. Its owner sends the requests and verifies the result.
class ValueTransfer
{
public:
    explicit ValueTransfer(const DistributionLimits &limits) noexcept : limits_(limits) { }

    /// Records that \p peer has \p version.
    /// \return true if the version is above the target version; it then becomes the target.
    bool addSource(ConfigVersion version, DaemonId peer);

    /// Abandons the transfer.
    void reset();

    /// Discards the received chunks. The next requests ask for the whole text if \p fullTextOnly.
    void restart(bool fullTextOnly);

    /// Drops the source that was asked last; without any source left, abandons the transfer.
    void dropSource();

    /// The version to fetch; 0 for none.
    ConfigVersion targetVersion() const noexcept { return targetVersion_; }

    bool isActive() const noexcept { return !sources_.empty(); }

    bool isSource(DaemonId peer) const noexcept;

    /// Fills in the next request: kind, version and range.
    /// \return the source to send it to.
    DaemonId request(TimePoint now, Random &random, ConfigMessage &fetch);

    /// Adds a received chunk. \return false if its offset or size does not fit its body.
    bool addChunk(TimePoint now, const ConfigMessage &chunk);

    /// True if all chunks of the requested range have been received.
    bool isRangeDone() const noexcept;

    /// True if all chunks have been received.
    bool isComplete() const noexcept { return body_ && body_->missing == 0; }

    /// A body that is being received: a whole text, or a difference to `base`.
    struct Body {
        ConfigVersion version;
        ConfigVersion base;
        TextDigest digest;
        std::string bytes;
        std::vector<bool> received;
        std::size_t missing = 0;
    };
    const Body &body() const noexcept { return *body_; }

    /// When the last request must be repeated.
    TimePoint retryAt() const noexcept { return progressAt_ + limits_.retryAfter; }

    /// Records a request that timed out. \return false if the source should be dropped.
    bool recordStall() noexcept;

private:
    std::size_t firstMissing() const noexcept;

    DistributionLimits limits_;
    ConfigVersion targetVersion_;
    std::vector<DaemonId> sources_;
    DaemonId currentSource_;
    bool isFullTextOnly_ = false;
    std::optional<Body> body_;
    std::size_t rangeEnd_ = 0;
    TimePoint progressAt_;
    unsigned stalls_ = 0;
};

} // namespace sassafrasvane::detail
