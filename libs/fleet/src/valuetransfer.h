#pragma once

#include "base/random.h"
#include "fleet/configdistributor.h"

#include <optional>
#include <string>
#include <vector>

/// \file
/// Fetches one version of one key from peers, chunk by chunk.

namespace sassafrasvane::detail
{

/// The state of one fetch. Its user sends the requests and checks the result.
class ValueTransfer
{
public:
    explicit ValueTransfer(const DistributionLimits &limits) noexcept : limits_(limits) { }

    /// Notes that \p peer has \p version. \return true if the version is the highest wanted so far.
    bool addSource(ConfigVersion version, DaemonId peer);

    /// Gives up.
    void reset();

    /// Drops the body, and asks for whole texts only if \p wholeOnly.
    void restart(bool wholeOnly);

    /// Drops the source that was asked last, or one at random if none was.
    void dropSource();

    /// The version that is wanted; 0 for none.
    ConfigVersion targetVersion() const noexcept { return targetVersion_; }

    bool isActive() const noexcept { return !sources_.empty(); }

    bool isSource(DaemonId peer) const noexcept;

    /// Fills the range and the receiver of the next request.
    DaemonId request(TimePoint now, Random &random, ConfigMessage &fetch);

    /// Takes a chunk. \return false if it makes no sense.
    bool addChunk(TimePoint now, const ConfigMessage &chunk);

    /// True if all chunks of the range that was asked for are there.
    bool isRangeDone() const noexcept;

    /// True if all chunks are there.
    bool isComplete() const noexcept { return body_ && body_->missing == 0; }

    /// The version, base, digest and bytes of a complete body.
    struct Body {
        ConfigVersion version;
        ConfigVersion base;
        TextDigest digest;
        std::string bytes;
        std::vector<bool> received;
        std::size_t missing = 0;
    };
    const Body &body() const noexcept { return *body_; }

    /// When the last request is to be repeated.
    TimePoint retryAt() const noexcept { return progressAt_ + limits_.retryAfter; }

    /// Notes a lack of progress. \return false if the source should be given up.
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
