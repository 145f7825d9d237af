#pragma once

#include "base/time.h"
#include "settings/published.h"
#include "shardmap/holders.h"

#include <cstddef>
#include <optional>

/// \file
/// Decides how many connections to a searcher are kept open, and when the next one may be opened.

namespace sassafrasvane
{

/// The current need for connections to one searcher.
struct ConnectionDemand {
    /// Connections that are open or being opened.
    std::size_t open = 0;
    /// SearcherGate::concurrency().
    std::uint32_t concurrency = 0;
    /// True if SearcherGate::coldCause() is not None.
    bool isCold = false;
};

/// Opens connections ahead of need without putting noticeable load on the searcher.
///
/// Opening a connection costs processing time of the searcher, the published connection cost. All holders together keep
/// their openings within a small fraction of the time of its slots (of its cold allowance while it is cold). Each
/// holder applies its own share, so no messages are needed. A holder never has more connections than its share of the
/// published cap.
///
/// \code
/// if (pacer.nextOpening(demand) <= now) { pacer.onOpening(now); ... }
/// \endcode
class ConnectionPacer
{
public:
    class Builder;

    /// Max fraction of the searcher's slot time that openings may take, over all holders.
    static constexpr double maxOpeningFraction() noexcept { return 0.05; }

    /// Max fraction of the time of its cold allowance that openings may take while it is cold, over all holders.
    static constexpr double maxColdOpeningFraction() noexcept { return 0.02; }

    /// Applies new limits or a new share.
    void setShare(const BackEndLimits &limits, HolderShare share) noexcept;

    /// Number of connections to keep open, at most cap(). While the searcher is cold: enough for the next step of its
    /// warm-up. Otherwise: this holder's share of the slots, and a spare one for a connection that is closed to cancel
    /// its call. 0 if no calls may run.
    std::size_t target(const ConnectionDemand &demand) const noexcept;

    /// Max number of open connections.
    std::size_t cap() const noexcept;

    /// When the next connection may be opened, or nothing if enough are open.
    std::optional<TimePoint> nextOpening(const ConnectionDemand &demand) const noexcept;

    /// Records that the opening of a connection has started.
    void onOpening(TimePoint now) noexcept;

    /// Records that the last opening succeeded.
    void onOpened() noexcept { failuresInRow_ = 0; }

    /// Records that the last opening failed; the backoff grows with each failure in a row.
    void onOpeningFailed() noexcept { ++failuresInRow_; }

private:
    ConnectionPacer() = default;
    Duration interval(bool isCold) const noexcept;

    BackEndLimits limits_;
    HolderShare share_;
    std::optional<TimePoint> lastOpening_;
    std::uint32_t failuresInRow_ = 0;
};

/// Builds a ConnectionPacer.
class ConnectionPacer::Builder
{
public:
    /// The published limits of the searcher.
    Builder &limits(const BackEndLimits &limits);

    /// This daemon's share of them.
    Builder &share(HolderShare share) noexcept;

    /// \return the pacer.
    ConnectionPacer build() const;

private:
    BackEndLimits limits_;
    HolderShare share_;
};

} // namespace sassafrasvane
