#pragma once

#include "base/time.h"
#include "settings/published.h"
#include "shardmap/holders.h"

#include <cstddef>
#include <optional>

/// \file
/// How many connections to a searcher are held, and when the next one may be opened.

namespace sassafrasvane
{

/// What the connections to one searcher are needed for at present.
struct ConnectionDemand {
    /// Connections that are open or being opened.
    std::size_t open = 0;
    /// SearcherGate::concurrency().
    std::uint32_t concurrency = 0;
    /// True if SearcherGate::coldCause() is not None.
    bool isCold = false;
};

/// Opens connections ahead of need without loading the searcher by it.
///
/// Opening a connection takes the searcher's time, the published connection cost. All holders together keep their
/// openings to a small fraction of the time of its slots (of its cold allowance while it is cold), each by its own
/// share and thus without talking. A holder never has more connections than its share of the published cap.
///
/// \code
/// if (pacer.nextOpening(demand) <= now) { pacer.onOpening(now); ... }
/// \endcode
class ConnectionPacer
{
public:
    class Builder;

    /// Most of the searcher's slot time that openings may take, over all holders.
    static constexpr double maxOpeningFraction() noexcept { return 0.05; }

    /// The same of the time of its cold allowance.
    static constexpr double maxColdOpeningFraction() noexcept { return 0.02; }

    /// Takes new limits or a new share.
    void setShare(const BackEndLimits &limits, HolderShare share) noexcept;

    /// Connections to hold: what may run now, what may run after the next step of a warm-up, and a spare one for a
    /// connection that is closed to cancel its call.
    std::size_t target(const ConnectionDemand &demand) const noexcept;

    /// Most connections that may be open.
    std::size_t cap() const noexcept;

    /// When the next connection may be opened, or nothing if enough are open.
    std::optional<TimePoint> nextOpening(const ConnectionDemand &demand) const noexcept;

    /// Notes that a connection begins to be opened.
    void onOpening(TimePoint now) noexcept;

    /// Notes that the last opening succeeded.
    void onOpened() noexcept { failuresInRow_ = 0; }

    /// Notes that the last opening failed; the next one waits longer with each failure in a row.
    void onOpeningFailed() noexcept { ++failuresInRow_; }

private:
    ConnectionPacer() = default;
    Duration interval(bool isCold) const noexcept;

    BackEndLimits limits_;
    HolderShare share_;
    std::optional<TimePoint> lastOpening_;
    std::uint32_t failuresInRow_ = 0;
};

/// Collects what a ConnectionPacer needs.
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
