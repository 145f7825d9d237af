#pragma once

#include "admission/crashbar.h"
#include "base/time.h"

#include <cstdint>
#include <span>
#include <vector>

/// \file
/// Schedule by which evidence of requests that crash their servers is sent to the other daemons.

namespace sassafrasvane
{

/// Sends each new piece of crash evidence several times, since datagrams may be lost.
///
/// Only the daemon that saw a crash sends the evidence, so that the number of messages grows with the size of the fleet
/// and not with its square. A daemon that was unreachable gets all evidence when it is seen again.
///
/// \code
/// broadcaster.add(now, bar.onRequestLost(now, fingerprint, servers, lostAt));
/// const std::vector<CrashEntry> entries = broadcaster.due(now);
/// \endcode
class CrashBroadcaster
{
public:
    /// How many times each entry is sent, and the time between two sends.
    static constexpr std::uint32_t maxSends() noexcept { return 4; }
    static constexpr Duration resendInterval() noexcept { return std::chrono::milliseconds(250); }

    /// Adds new evidence of this daemon. It is due at once.
    void add(TimePoint now, std::span<const CrashEntry> entries);

    /// \return the evidence to send to all other daemons now. Must be called several times a second.
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
