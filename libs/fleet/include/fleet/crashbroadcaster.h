#pragma once

#include "admission/crashbar.h"
#include "base/time.h"

#include <cstdint>
#include <span>
#include <vector>

/// \file
/// When evidence of requests that crash their servers goes to the other daemons.

namespace sassafrasvane
{

/// Repeats new evidence a few times, since datagrams may be lost.
///
/// Only the daemon that saw a crash sends it, so that the number of messages grows with the fleet and not with its
/// square. Who was out of reach meanwhile is sent everything when it appears again.
///
/// \code
/// spread.add(now, bar.onRequestLost(now, fingerprint, servers));
/// const std::vector<CrashEntry> entries = spread.due(now);
/// \endcode
class CrashBroadcaster
{
public:
    /// How often evidence is sent, and the time between.
    static constexpr std::uint32_t maxSends() noexcept { return 4; }
    static constexpr Duration resendInterval() noexcept { return std::chrono::milliseconds(250); }

    /// Takes new evidence of this daemon.
    void add(TimePoint now, std::span<const CrashEntry> entries);

    /// The evidence to send to all other daemons now. To be asked several times a second.
    std::vector<CrashEntry> due(TimePoint now);

private:
    struct PendingEntry {
        CrashEntry entry;
        TimePoint nextAt;
        std::uint32_t sent = 0;
    };

    std::vector<PendingEntry> pending_;
};

} // namespace sassafrasvane
