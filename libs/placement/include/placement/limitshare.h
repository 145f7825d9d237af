#pragma once

#include "base/time.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

/// \file
/// Divides the rate limit that a searcher states among the entry VMs.

namespace sassafrasvane
{

/// The entry VMs, as one of them sees the fleet.
struct Fleet {
    /// Names of the VMs that carry traffic: those advertised to callers now or recently. Limits are divided among them.
    std::set<std::string> sharers;
    /// Number of VMs that are advertised to callers now; at least 1.
    std::size_t advertisedCount = 1;
    /// Number of all VMs that are reachable; at least 1.
    std::size_t memberCount = 1;
    /// True if this VM reaches none of the others that it has been told of, so that it doesn't know who carries
    /// traffic.
    bool isIsolated = false;

    bool operator==(const Fleet &) const = default;
};

/// The part of a searcher's rate limit that one VM uses.
struct LimitShare {
    /// Interval between two calls of this VM.
    Duration interval{0};
    /// True if this VM is a sender: one of those that the limit is divided among. The others are observers, which send
    /// a call now and then to learn whether the limit has changed.
    bool isSender = false;

    bool operator==(const LimitShare &) const = default;
};

/// Returns the share of VM \p self in the limit of \p callsPerSecond that the searcher \p instance states.
///
/// Every sender may send one call at once after a pause, so that their number adds to what a searcher can get in a
/// burst. A limit is therefore divided among at most one VM for each call per second, which rendezvous hashing selects;
/// the other VMs use other replicas. All VMs that see the same fleet select the same senders.
LimitShare limitShare(double callsPerSecond, std::string_view instance, std::string_view self, const Fleet &fleet);

} // namespace sassafrasvane
